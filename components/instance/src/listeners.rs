//! The servers for callers and for operators.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::Sender;

use ntex::web::{self, App, HttpServer};
use ntex_grpc::server::GrpcServer;
use upstream::MAX_BODY_BYTES;

use crate::callers::{self, CallerService};
use crate::core::Input;
use crate::operators::OperatorServer;
use crate::shared::Shared;
use crate::upstream_call::Clients;

/// Serves callers and the balancer.
pub(crate) fn serve_callers(
    shared: Arc<Shared>,
    core: Sender<Input>,
    listener: TcpListener,
) -> std::io::Result<ntex::server::Server> {
    let server = HttpServer::new(async move || {
        let clients = Clients::default();
        let service =
            Rc::new(CallerService { shared: shared.clone(), core: core.clone(), clients });
        App::new()
            .state(service)
            .state(web::types::PayloadConfig::new(MAX_BODY_BYTES))
            .service(web::resource("/run").route(web::post().to(callers::run)))
            .service(web::resource("/health").route(web::get().to(callers::health)))
    });
    Ok(server.disable_signals().workers(1).listen(listener)?.run())
}

/// Serves operators.
pub(crate) fn serve_operators(
    shared: Arc<Shared>,
    core: Sender<Input>,
    listener: TcpListener,
) -> std::io::Result<ntex::server::Server> {
    let server = ntex::server::build().disable_signals().workers(1);
    let server = server.listen("operators", listener, async move |_| {
        GrpcServer::new(OperatorFactory { shared: shared.clone(), core: core.clone() })
    })?;
    Ok(server.run())
}

/// Creates one operator service for each connection.
struct OperatorFactory {
    shared: Arc<Shared>,
    core: Sender<Input>,
}

impl ntex::ServiceFactory<ntex_grpc::server::ServerRequest, ntex::SharedCfg> for OperatorFactory {
    type Response = ntex_grpc::server::ServerResponse;
    type Error = ntex_grpc::server::ServerError;
    type InitError = ();
    type Service = OperatorServer;

    async fn create(&self, _: ntex::SharedCfg) -> Result<OperatorServer, ()> {
        Ok(OperatorServer { shared: self.shared.clone(), core: self.core.clone() })
    }
}
