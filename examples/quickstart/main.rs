//! Starts three daemons and fake backend servers on this machine and runs a chat and a booking.
//!
//! `scripts/quickstart` builds everything and runs this example. With `--keep` all processes keep
//! running.

mod http_client;
mod installation;
mod process_group;

use {
    self::{
        http_client::{HttpClient, HttpResponse},
        installation::{Installation, OrganisationKey},
        process_group::ProcessGroup,
    },
    std::{io, process::ExitCode, time::Duration},
    tokio::{
        signal::unix::{SignalKind, signal},
        time::{Instant, sleep},
    },
};

/// Timeout for each daemon to become ready. The daemons normally found the control group within a
/// second; a loaded machine takes longer.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval of the readiness checks; short in comparison with a start.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Request of the example booking, a non-repeatable service call.
const BOOKING_PATH: &str = "/services/dispatch-app/bookings";
const BOOKING_BODY: &str = r#"{"office":"reception-7","slot":"monday-08:00","boxes":4}"#;

#[tokio::main]
async fn main() -> ExitCode {
    let keep = std::env::args().skip(1).any(|argument| argument == "--keep");
    let mut group = ProcessGroup::default();
    let result = tokio::select! {
        result = run(&mut group) => result,
        () = interrupted() => Err(io::Error::other("interrupted")),
    };
    match result {
        Ok(installation) if keep => {
            let written = installation.write_environment(&group);
            match written {
                Ok(path) => {
                    println!("\nLeft running; addresses, keys and process ids are in {path}.");
                    println!("To stop all of it: . {path} && kill $PIDS");
                    ExitCode::SUCCESS
                }
                Err(error) => fail(group, &error).await,
            }
        }
        Ok(_) => match group.stop().await {
            Ok(()) => {
                println!("\nAll processes have ended.");
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("quickstart: {error}");
                ExitCode::FAILURE
            }
        },
        Err(error) => fail(group, &error).await,
    }
}

async fn fail(group: ProcessGroup, error: &io::Error) -> ExitCode {
    eprintln!("quickstart: {error}; logs are in target/quickstart");
    if let Err(error) = group.stop().await {
        eprintln!("quickstart: {error}");
    }
    ExitCode::FAILURE
}

async fn interrupted() {
    let handlers = (signal(SignalKind::interrupt()), signal(SignalKind::terminate()));
    if let (Ok(mut interrupt), Ok(mut terminate)) = handlers {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    }
}

async fn run(group: &mut ProcessGroup) -> io::Result<Installation> {
    let installation = Installation::prepare(group)?;
    let client = HttpClient::new();
    println!("Three daemons start, one in each failure domain.");
    installation.start_daemons(group)?;
    wait_for_leader(&installation, &client, group).await?;

    let file = installation.inventory_file();
    installation.run_and_print(&["check", &file])?;
    installation.run_and_print(&["inventory", "apply", &file, "--expect-revision", "0"])?;
    installation.run_and_print(&["rules", "apply", &file, "--expect-revision", "1"])?;
    installation.run_and_print(&["config", "wait", "--revision", "2"])?;
    wait_until_ready(&installation, &client, group).await?;

    show_chat(&installation, &client).await?;
    show_booking(&installation, &client).await?;
    installation.run_and_print(&["status"])?;
    Ok(installation)
}

async fn wait_for_leader(
    installation: &Installation,
    client: &HttpClient,
    group: &mut ProcessGroup,
) -> io::Result<()> {
    for url in installation.admin_urls() {
        let knows_leader = |response: &HttpResponse| response.json()["leader"].is_string();
        wait_for(client, &format!("{url}/v1/status"), knows_leader, group).await?;
    }
    Ok(())
}

async fn wait_until_ready(
    installation: &Installation,
    client: &HttpClient,
    group: &mut ProcessGroup,
) -> io::Result<()> {
    for url in installation.caller_urls() {
        wait_for(client, &format!("{url}/readyz"), |response| response.status == 200, group)
            .await?;
    }
    Ok(())
}

async fn wait_for(
    client: &HttpClient,
    url: &str,
    is_ready: impl Fn(&HttpResponse) -> bool,
    group: &mut ProcessGroup,
) -> io::Result<()> {
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        group.check_running()?;
        if client.get(url).await.is_ok_and(|response| is_ready(&response)) {
            return Ok(());
        }
        if Instant::now() > deadline {
            return Err(io::Error::other(format!("{url} did not become ready")));
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn show_chat(installation: &Installation, client: &HttpClient) -> io::Result<()> {
    let url = format!("{}/v1/chat/completions", installation.caller_urls()[0]);
    let body = serde_json::json!({
        "model": installation.model(),
        "stream": true,
        "max_tokens": 12,
        "messages": [
            { "role": "system", "content": "You answer office managers about fruit deliveries." },
            { "role": "user", "content": "Can Monday's apples become pears?" },
        ],
    });
    println!(
        "\nA streamed chat, as organisation {}:",
        installation.organisation_key().organisation
    );
    let events =
        client.stream(&url, &installation.organisation_key().key, &body.to_string()).await?;
    println!("\n{} events, the last one [DONE].", events);
    Ok(())
}

async fn show_booking(installation: &Installation, client: &HttpClient) -> io::Result<()> {
    println!("\nA booking, sent twice under one key through two daemons:");
    let OrganisationKey { key: api_key, .. } = installation.organisation_key();
    let idempotency_key = "quickstart-booking-1";
    for url in installation.caller_urls().iter().take(2) {
        let url = format!("{url}{BOOKING_PATH}");
        let response = client.post(&url, api_key, idempotency_key, BOOKING_BODY).await?;
        println!("POST {url} -> {} {}", response.status, response.text());
        if response.status != 200 {
            return Err(io::Error::other("the booking was refused"));
        }
    }
    let runs = client.get(installation.runs_url()).await?;
    println!("GET {} -> {}", installation.runs_url(), runs.text());
    match runs.json()[idempotency_key].as_u64() {
        Some(1) => Ok(()),
        count => Err(io::Error::other(format!("the booking ran {count:?} times instead of once"))),
    }
}
