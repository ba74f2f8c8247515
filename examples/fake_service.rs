//! Runs the fake service as a process: `fake_service --listen ADDR`. `GET /runs` returns the number
//! of runs by idempotency key.

#[path = "fakes/service.rs"]
mod service;

use {
    self::service::FakeService,
    bpaf::{Parser, long},
    std::net::SocketAddr,
};

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let listen = long("listen")
        .help("The address to listen on; with port 0 the kernel chooses a port")
        .argument::<SocketAddr>("ADDR")
        .fallback(([127, 0, 0, 1], 0).into())
        .to_options()
        .descr("A fake plain service that counts runs by idempotency key.")
        .run();
    let service = FakeService::start(listen).await?;
    println!("{}", service.address());
    std::future::pending().await
}
