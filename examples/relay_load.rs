//! Measures the overhead of a daemon on streams: first-token latency compared with direct calls to
//! the fake engine, streams per second, and memory per open stream. The fake engine and the callers
//! run as separate processes, so that this process contains only the daemon.

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

/// Number of concurrent streams in the closed loop that measures the maximum rate.
const WORKERS: usize = 256;
/// Duration of each measurement.
const MEASUREMENT: Duration = Duration::from_secs(5);
/// Number of open streams for the memory measurement.
const OPEN_STREAMS: usize = 2000;
/// Maximum number of streams that are being opened concurrently.
const CONCURRENT_OPENS: usize = 50;
/// Number of tokens of a stream in rate and latency measurements.
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

/// A child process that runs this program with other arguments.
struct LoadProcess {
    child: Child,
    input: Option<ChildStdin>,
    output: BufReader<ChildStdout>,
}

impl LoadProcess {
    fn start(arguments: &[&str]) -> io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().expect("it is piped");
        let input = child.stdin.take();
        Ok(LoadProcess { child, input, output: BufReader::new(output) })
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        self.output.read_line(&mut line)?;
        Ok(line.trim().to_owned())
    }
}

impl Drop for LoadProcess {
    fn drop(&mut self) {
        drop(self.input.take());
        // Both calls fail only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn orchestrate() -> io::Result<()> {
    oleandermount::observe::logs::install(log::LevelFilter::Warn);
    // Memory is measured first, because memory that an earlier measurement freed to the allocator
    // would hide a part of it.
    measure_memory().await?;
    let mut engine = LoadProcess::start(&["engine", "1"])?;
    let direct = parse(&engine.line()?);
    let daemon = LoneDaemon::start(&[direct], &[]).await;
    let (direct, router) = (direct.to_string(), daemon.callers().to_string());
    let rate = tokio::task::block_in_place(|| LoadProcess::start(&["rate", &router])?.line())?;
    println!("streams per second with {WORKERS} callers and {TOKENS} tokens each: {rate}");
    let number = rate.split(' ').next().and_then(|number| number.parse::<f64>().ok());
    let half = (number.unwrap_or(2.0) / 2.0).to_string();
    let mut latency = LoadProcess::start(&["latency", &router, &direct, &half])?;
    tokio::task::block_in_place(|| -> io::Result<()> {
        println!("first token at {half} streams per second, half of them direct:");
        (0..3).try_for_each(|_| latency.line().map(|line| println!("  {line}")))
    })
}

async fn measure_memory() -> io::Result<()> {
    let mut engine = LoadProcess::start(&["engine", "500"])?;
    let daemon = LoneDaemon::start(&[parse(&engine.line()?)], &[]).await;
    let before = resident_kib()?;
    let mut hold = LoadProcess::start(&["hold", &daemon.callers().to_string()])?;
    let opened = tokio::task::block_in_place(|| hold.line())?;
    let after = resident_kib()?;
    let count = opened.split(' ').next().and_then(|count| count.parse().ok()).unwrap_or(1.0);
    let kib = after.saturating_sub(before) as f64 / f64::max(count, 1.0);
    println!("memory: {opened}; {before} KiB before, {after} KiB after: {kib:.1} KiB per stream");
    Ok(())
}

fn resident_kib() -> io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(value.and_then(|value| value.parse().ok()).unwrap_or(0))
}

/// Runs a fake engine until the parent process closes standard input.
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
        _ => Err(io::Error::other("the stream has no first token")),
    }
}

async fn read_rest(mut open: http_client::OpenResponse) -> io::Result<()> {
    let rest = open.response.body_mut().collect().await.map_err(io::Error::other)?;
    match rest.to_bytes().ends_with(b"data: [DONE]\n\n") {
        true => Ok(()),
        false => Err(io::Error::other("the stream is not complete")),
    }
}

async fn run_rate(router: SocketAddr) -> io::Result<()> {
    let until = Instant::now() + MEASUREMENT;
    let workers = (0..WORKERS).map(|_| async move {
        let (mut complete, mut failed) = (0_u64, 0_u64);
        while Instant::now() < until {
            match open_stream(router, TOKENS).await {
                Ok(open) => read_rest(open).await?,
                // The fake engine may be too slow to accept so many connections.
                Err(_) => {
                    failed += 1;
                    continue;
                }
            }
            complete += 1;
        }
        Ok::<_, io::Error>((complete, failed))
    });
    let tasks: Vec<_> = workers.map(tokio::spawn).collect();
    let (mut complete, mut failed) = (0, 0);
    for task in tasks {
        let (more, refused) = task.await??;
        complete += more;
        failed += refused;
    }
    println!(
        "{:.0} complete, {failed} refused in total",
        complete as f64 / MEASUREMENT.as_secs_f64()
    );
    Ok(())
}

/// Opens streams at a fixed rate, alternating between `targets`: the engine and the router.
async fn run_latency(targets: [SocketAddr; 2], rate: f64) -> io::Result<()> {
    let micros = || Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("they are valid");
    let times = Arc::new(Mutex::new([micros(), micros()]));
    let begin = Instant::now();
    let count = (MEASUREMENT.as_secs_f64() * rate) as u64;
    let tasks: Vec<_> = (0..count)
        .map(|number| {
            let times = Arc::clone(&times);
            tokio::spawn(async move {
                sleep_until(begin + Duration::from_secs_f64(number as f64 / rate)).await;
                let target = (number % 2) as usize;
                let started = Instant::now();
                let open = open_stream(targets[target], TOKENS).await?;
                let micros = started.elapsed().as_micros() as u64;
                times.lock().await[target].saturating_record(micros);
                read_rest(open).await
            })
        })
        .collect();
    for task in tasks {
        task.await??;
    }
    let times = times.lock().await;
    let quantiles =
        |target: usize| [0.5, 0.99].map(|q| times[target].value_at_quantile(q) as f64 / 1e3);
    let ([direct_50, direct_99], [router_50, router_99]) = (quantiles(0), quantiles(1));
    println!("direct  p50 {direct_50:.3} ms  p99 {direct_99:.3} ms");
    println!("router  p50 {router_50:.3} ms  p99 {router_99:.3} ms");
    println!("added   p50 {:.3} ms  p99 {:.3} ms", router_50 - direct_50, router_99 - direct_99);
    Ok(())
}

async fn run_hold(router: SocketAddr) -> io::Result<()> {
    let open: Vec<_> = stream::iter(0..OPEN_STREAMS)
        .map(|_| open_stream(router, 1_000_000))
        .buffer_unordered(CONCURRENT_OPENS)
        .collect()
        .await;
    let opened = open.iter().filter(|one| one.is_ok()).count();
    let failed = open.iter().find_map(|one| one.as_ref().err()).map(ToString::to_string);
    // Each stream receives some more tokens, so that buffers have reached their usual size.
    sleep(Duration::from_secs(2)).await;
    println!(
        "{opened} streams open{}",
        failed.map(|text| format!(" ({text})")).unwrap_or_default()
    );
    io::stdout().flush()?;
    tokio::task::spawn_blocking(|| io::stdin().lines().for_each(drop)).await?;
    Ok(())
}
