//! Starts one of the fakes and keeps it until the process is ended.
//!
//! The first line on standard output is `listening ADDRESS`, so that a parent can read the port.

use {
    bpaf::Bpaf,
    std::{future, io, net::SocketAddr},
    thiserror::Error,
    whinlatch_standins::{
        Engine, EngineOptions, PlainService, Platform, PlatformOptions, Relay, RelayOptions,
        ServiceOptions,
    },
};

/// Small fakes at the interfaces of whinlatch, for tests and the demo.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// The platform: records and the list of instances.
    #[bpaf(command)]
    Platform(#[bpaf(external(settings))] Settings),
    /// A model engine.
    #[bpaf(command)]
    Engine(#[bpaf(external(settings))] Settings),
    /// A plain service.
    #[bpaf(command)]
    Service(#[bpaf(external(settings))] Settings),
    /// A TCP relay; its second line is `control ADDRESS`.
    #[bpaf(command)]
    Relay(#[bpaf(external(settings))] Settings),
}

#[derive(Debug, Clone, Bpaf)]
struct Settings {
    /// Where to listen; a free port of 127.0.0.1 unless told otherwise
    #[bpaf(argument("ADDRESS"))]
    listen: Option<SocketAddr>,
    /// The options of the fake as a JSON object, such as {"slots":4}
    #[bpaf(argument("JSON"), fallback("{}".to_owned()))]
    options: String,
}

#[derive(Debug, Error)]
enum StartError {
    #[error("--options: {0}: see the options of the fake in its documentation")]
    Options(#[from] serde_json::Error),
    #[error("can't listen: {0}: choose another address with --listen")]
    Listen(#[from] io::Error),
}

fn main() -> Result<(), StartError> {
    let command = command().run();
    async_std::task::block_on(run(command))
}

async fn run(command: Command) -> Result<(), StartError> {
    match command {
        Command::Platform(settings) => {
            let mut options: PlatformOptions = serde_json::from_str(&settings.options)?;
            options.listen = settings.listen.unwrap_or(options.listen);
            let platform = Platform::start(options).await?;
            keep(platform.address(), None).await;
        }
        Command::Engine(settings) => {
            let mut options: EngineOptions = serde_json::from_str(&settings.options)?;
            options.listen = settings.listen.unwrap_or(options.listen);
            let engine = Engine::start(options).await?;
            keep(engine.address(), None).await;
        }
        Command::Service(settings) => {
            let mut options: ServiceOptions = serde_json::from_str(&settings.options)?;
            options.listen = settings.listen.unwrap_or(options.listen);
            let service = PlainService::start(options).await?;
            keep(service.address(), None).await;
        }
        Command::Relay(settings) => {
            let mut options: RelayOptions = serde_json::from_str(&settings.options)?;
            options.listen = settings.listen.unwrap_or(options.listen);
            let relay = Relay::start(options).await?;
            keep(relay.address(), Some(relay.control_address())).await;
        }
    }
    Ok(())
}

async fn keep(address: SocketAddr, control: Option<SocketAddr>) {
    println!("listening {address}");
    if let Some(control) = control {
        println!("control {control}");
    }
    future::pending::<()>().await;
}
