//! Runs one of the fakes until the process is terminated.
//!
//! The first line on standard output is `listening ADDRESS`, from which the parent process reads the port.

use {
    bpaf::Bpaf,
    serde::de::DeserializeOwned,
    std::{convert::Infallible, future::pending, io, net::SocketAddr, process::ExitCode},
    thiserror::Error,
    whinlatch_standins::{Engine, PlainService, Platform, Relay},
};

/// Fakes of the systems that whinlatch talks to, for tests and the demo.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Runs a platform: records and the list of instances.
    #[bpaf(command)]
    Platform(#[bpaf(external(settings))] Settings),
    /// Runs a model engine.
    #[bpaf(command)]
    Engine(#[bpaf(external(settings))] Settings),
    /// Runs a plain service.
    #[bpaf(command)]
    Service(#[bpaf(external(settings))] Settings),
    /// Runs a TCP relay; the second line that it prints is `control ADDRESS`.
    #[bpaf(command)]
    Relay(#[bpaf(external(settings))] Settings),
}

#[derive(Debug, Clone, Bpaf)]
struct Settings {
    /// Address to listen on; default: a free port of 127.0.0.1
    #[bpaf(argument("ADDRESS"))]
    listen: Option<SocketAddr>,
    /// Options of the fake as a JSON object, such as {"slots":4}
    #[bpaf(argument("JSON"), fallback("{}".to_owned()))]
    options: String,
}

impl Settings {
    fn read<T: DeserializeOwned>(&self) -> Result<T, StartError> {
        let mut options: serde_json::Value = serde_json::from_str(&self.options)?;
        if let Some(listen) = self.listen {
            options["listen"] = listen.to_string().into();
        }
        Ok(serde_json::from_value(options)?)
    }
}

#[derive(Debug, Error)]
enum StartError {
    #[error("--options: {0}")]
    Options(#[from] serde_json::Error),
    #[error("can't listen ({0}): choose another address with --listen")]
    Listen(#[from] io::Error),
}

#[async_std::main]
async fn main() -> ExitCode {
    match run(command().run()).await {
        Ok(never) => match never {},
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<Infallible, StartError> {
    match command {
        Command::Platform(settings) => {
            let platform = Platform::start(settings.read()?).await?;
            println!("listening {}", platform.address());
            pending().await
        }
        Command::Engine(settings) => {
            let engine = Engine::start(settings.read()?).await?;
            println!("listening {}", engine.address());
            pending().await
        }
        Command::Service(settings) => {
            let service = PlainService::start(settings.read()?).await?;
            println!("listening {}", service.address());
            pending().await
        }
        Command::Relay(settings) => {
            let relay = Relay::start(settings.read()?).await?;
            println!(
                "listening {}\ncontrol {}",
                relay.address(),
                relay.control_address()
            );
            pending().await
        }
    }
}
