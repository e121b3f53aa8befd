//! A stand-in for the platform's list of workers: it gives out a file, read anew for each call.

use std::path::PathBuf;

use gumdrop::Options;
use ntex::web::{self, App, HttpResponse, HttpServer, types::State};

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, help = "where to listen, ip:port")]
    listen: String,
    #[options(no_short, required, help = "the file with the list, as JSON")]
    list: PathBuf,
}

async fn instances(list: State<PathBuf>) -> HttpResponse {
    match std::fs::read(list.get_ref()) {
        Ok(body) => HttpResponse::Ok().content_type("application/json").body(body),
        Err(e) => HttpResponse::InternalServerError().body(e.to_string()),
    }
}

#[ntex::main]
async fn main() -> std::io::Result<()> {
    let flags = Flags::parse_args_default_or_exit();
    let list = flags.list.clone();
    HttpServer::new(async move || {
        App::new()
            .state(list.clone())
            .service(web::resource("/instances").route(web::get().to(instances)))
    })
    .bind(&flags.listen)?
    .workers(1)
    .run()
    .await
}
