//! A simulated platform API that lists the workers: it serves a file, which it reads again for each request.

use std::path::PathBuf;

use gumdrop::Options;
use ntex::web::{self, App, HttpResponse, HttpServer, types::State};

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, help = "address to listen on, ip:port")]
    listen: String,
    #[options(no_short, required, help = "JSON file with the list of workers")]
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
