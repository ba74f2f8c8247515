//! What one daemon adds to a stream: first-token latency against calling the stand-in directly,
//! streams a second, and memory for each open stream. The stand-in and the callers run as
//! processes of their own, so that this one holds the daemon alone.

#[path = "fakes/engine.rs"]
mod engine;
#[path = "fakes/http_client.rs"]
mod http_client;
#[path = "fakes/lone_daemon.rs"]
mod lone_daemon;

use {
    self::{
        engine::{EngineBehaviour, FakeEngine},
        lone_daemon::{KEY, LoneDaemon, MODEL},
    },
    futures::{StreamExt, stream},
    hdrhistogram::Histogram,
    http_body_util::BodyExt,
    serde_json::json,
    std::{
        fs,
        io::{self, BufRead, BufReader, Write},
        net::SocketAddr,
        process::{Child, ChildStdin, ChildStdout, Command, Stdio},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::Mutex,
        time::{Instant, sleep, sleep_until},
    },
};

/// Streams in the closed loop that finds the most streams a second.
const WORKERS: usize = 256;
/// Length of each phase.
const PHASE: Duration = Duration::from_secs(5);
/// Streams held open for the memory reading.
const OPEN_STREAMS: usize = 2000;
/// Streams opened together while those are built up.
const OPENED_TOGETHER: usize = 50;
/// Tokens of an ordinary stream.
const TOKENS: u64 = 20;

#[tokio::main]
async fn main() -> io::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["engine", token_ms] => run_engine(token_ms.parse().unwrap_or(0)).await,
        ["rate", router] => run_rate(parse(router)).await,
        ["latency", router, direct, rate] => {
            run_latency([parse(direct), parse(router)], rate.parse().unwrap_or(1.0)).await
        }
        ["hold", router] => run_hold(parse(router)).await,
        _ => orchestrate().await,
    }
}

fn parse(address: &str) -> SocketAddr {
    address.parse().expect("addresses come from this program")
}

/// A process of this program in another part.
struct Part {
    child: Child,
    input: Option<ChildStdin>,
    output: BufReader<ChildStdout>,
}

impl Part {
    fn start(arguments: &[&str]) -> io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().expect("it is piped");
        let input = child.stdin.take();
        Ok(Part { child, input, output: BufReader::new(output) })
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        self.output.read_line(&mut line)?;
        Ok(line.trim().to_owned())
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        drop(self.input.take());
        // Both fail only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn orchestrate() -> io::Result<()> {
    oleandermount::observe::logs::install(log::LevelFilter::Warn);
    // Memory first: what an earlier phase gave back to the allocator would hide a part of it.
    measure_memory().await?;
    let mut engine = Part::start(&["engine", "1"])?;
    let direct = parse(&engine.line()?);
    let daemon = LoneDaemon::start(&[direct], &[]).await;
    let (direct, router) = (direct.to_string(), daemon.callers().to_string());
    let rate = tokio::task::block_in_place(|| Part::start(&["rate", &router])?.line())?;
    println!("streams a second, {WORKERS} callers, {TOKENS} tokens each: {rate}");
    let number = rate.split(' ').next().and_then(|number| number.parse::<f64>().ok());
    let half = (number.unwrap_or(2.0) / 2.0).to_string();
    let mut latency = Part::start(&["latency", &router, &direct, &half])?;
    tokio::task::block_in_place(|| -> io::Result<()> {
        println!("first token at {half} streams a second, half of them direct:");
        (0..3).try_for_each(|_| latency.line().map(|line| println!("  {line}")))
    })
}

async fn measure_memory() -> io::Result<()> {
    let mut engine = Part::start(&["engine", "500"])?;
    let daemon = LoneDaemon::start(&[parse(&engine.line()?)], &[]).await;
    let before = resident_kib()?;
    let mut hold = Part::start(&["hold", &daemon.callers().to_string()])?;
    let opened = tokio::task::block_in_place(|| hold.line())?;
    let after = resident_kib()?;
    let count = opened.split(' ').next().and_then(|count| count.parse().ok()).unwrap_or(1.0);
    let each = after.saturating_sub(before) as f64 / f64::max(count, 1.0);
    println!("memory: {opened}; {before} KiB before, {after} KiB after: {each:.1} KiB a stream");
    Ok(())
}

fn resident_kib() -> io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(value.and_then(|value| value.parse().ok()).unwrap_or(0))
}

/// Runs a stand-in until the other side closes the standard input.
async fn run_engine(token_ms: u64) -> io::Result<()> {
    let token = Duration::from_millis(token_ms);
    let engine = FakeEngine::start(EngineBehaviour { token, ..Default::default() }).await?;
    println!("{}", engine.address());
    io::stdout().flush()?;
    tokio::task::spawn_blocking(|| io::stdin().lines().for_each(drop)).await?;
    Ok(())
}

async fn open_stream(address: SocketAddr, tokens: u64) -> io::Result<http_client::OpenResponse> {
    let body = json!({
        "model": MODEL, "stream": true, "max_tokens": tokens,
        "messages": [{ "role": "user", "content": "which slots are free on Monday?" }],
    });
    let headers = [("authorization", KEY), ("x-oleandermount-deadline-ms", "600000")];
    let mut open =
        http_client::open(address, "POST", "/v1/chat/completions", &headers, body.to_string())
            .await?;
    let first = open.response.body_mut().frame().await;
    match first {
        Some(Ok(_)) if open.response.status().is_success() => Ok(open),
        Some(Ok(frame)) => {
            let text = frame.into_data().unwrap_or_default();
            Err(io::Error::other(String::from_utf8_lossy(&text).into_owned()))
        }
        _ => Err(io::Error::other("no first token")),
    }
}

async fn read_rest(mut open: http_client::OpenResponse) -> io::Result<()> {
    let rest = open.response.body_mut().collect().await.map_err(io::Error::other)?;
    match rest.to_bytes().ends_with(b"data: [DONE]\n\n") {
        true => Ok(()),
        false => Err(io::Error::other("the stream is not whole")),
    }
}

async fn run_rate(router: SocketAddr) -> io::Result<()> {
    let until = Instant::now() + PHASE;
    let workers = (0..WORKERS).map(|_| async move {
        let (mut whole, mut failed) = (0_u64, 0_u64);
        while Instant::now() < until {
            match open_stream(router, TOKENS).await {
                Ok(open) => read_rest(open).await?,
                // The stand-in may be too slow to accept so many connections.
                Err(_) => {
                    failed += 1;
                    continue;
                }
            }
            whole += 1;
        }
        Ok::<_, io::Error>((whole, failed))
    });
    let tasks: Vec<_> = workers.map(tokio::spawn).collect();
    let (mut whole, mut failed) = (0, 0);
    for task in tasks {
        let (more, refused) = task.await??;
        whole += more;
        failed += refused;
    }
    println!("{:.0} whole, {failed} refused in all", whole as f64 / PHASE.as_secs_f64());
    Ok(())
}

/// Opens streams by the clock, in turn at each of `targets`: the direct one and the router.
async fn run_latency(targets: [SocketAddr; 2], rate: f64) -> io::Result<()> {
    let micros = || Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("they are valid");
    let times = Arc::new(Mutex::new([micros(), micros()]));
    let begin = Instant::now();
    let count = (PHASE.as_secs_f64() * rate) as u64;
    let tasks: Vec<_> = (0..count)
        .map(|number| {
            let times = Arc::clone(&times);
            tokio::spawn(async move {
                sleep_until(begin + Duration::from_secs_f64(number as f64 / rate)).await;
                let side = (number % 2) as usize;
                let started = Instant::now();
                let open = open_stream(targets[side], TOKENS).await?;
                let micros = started.elapsed().as_micros() as u64;
                times.lock().await[side].saturating_record(micros);
                read_rest(open).await
            })
        })
        .collect();
    for task in tasks {
        task.await??;
    }
    let times = times.lock().await;
    let quantiles =
        |side: usize| [0.5, 0.99].map(|q| times[side].value_at_quantile(q) as f64 / 1e3);
    let ([direct_50, direct_99], [router_50, router_99]) = (quantiles(0), quantiles(1));
    println!("direct  p50 {direct_50:.3} ms  p99 {direct_99:.3} ms");
    println!("router  p50 {router_50:.3} ms  p99 {router_99:.3} ms");
    println!("added   p50 {:.3} ms  p99 {:.3} ms", router_50 - direct_50, router_99 - direct_99);
    Ok(())
}

async fn run_hold(router: SocketAddr) -> io::Result<()> {
    let open: Vec<_> = stream::iter(0..OPEN_STREAMS)
        .map(|_| open_stream(router, 1_000_000))
        .buffer_unordered(OPENED_TOGETHER)
        .collect()
        .await;
    let opened = open.iter().filter(|one| one.is_ok()).count();
    let failed = open.iter().find_map(|one| one.as_ref().err()).map(ToString::to_string);
    // A few tokens more on each stream, so that buffers have their usual size.
    sleep(Duration::from_secs(2)).await;
    println!(
        "{opened} streams open{}",
        failed.map(|text| format!(" ({text})")).unwrap_or_default()
    );
    io::stdout().flush()?;
    tokio::task::spawn_blocking(|| io::stdin().lines().for_each(drop)).await?;
    Ok(())
}
