//! Runs the fake engine as a process: `fake_engine --listen ADDR --model M --weights V`.

#[path = "fakes/engine.rs"]
mod engine;

use {
    self::engine::{EngineBehaviour, FakeEngine},
    bpaf::{Parser, construct, long},
    std::{net::SocketAddr, time::Duration},
};

fn behaviour() -> bpaf::OptionParser<EngineBehaviour> {
    let defaults = EngineBehaviour::default();
    let listen = long("listen")
        .help("The address to listen on; with port 0 the kernel chooses a port")
        .argument::<SocketAddr>("ADDR")
        .fallback(defaults.listen);
    let model = long("model")
        .help("The model to serve")
        .argument::<String>("MODEL")
        .fallback(defaults.model);
    let weights = long("weights")
        .help("The initial weights version")
        .argument::<String>("VERSION")
        .fallback(defaults.weights);
    let prefill = milliseconds("prefill-ms", "Time until the first token");
    let token = milliseconds("token-ms", "Time between two tokens");
    let tokens = long("tokens")
        .help("Number of generated tokens if the request sets no limit")
        .argument::<u64>("N")
        .fallback(defaults.tokens);
    let checks_fencing = bpaf::pure(true);
    construct!(EngineBehaviour { listen, model, weights, prefill, token, tokens, checks_fencing })
        .to_options()
        .descr("A fake engine for the quick start and for tests.")
}

fn milliseconds(name: &'static str, help: &'static str) -> impl Parser<Duration> {
    long(name).help(help).argument::<u64>("MS").fallback(0).map(Duration::from_millis)
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let engine = FakeEngine::start(behaviour().run()).await?;
    println!("{}", engine.address());
    std::future::pending().await
}
