//! The control address: one JSON object a line, answered by one a line.
//!
//! `{"do":"hang","endpoint":"s-3","for":"4s"}` orders a fault, `{"show":"ledger"}` shows what ran,
//! `{"show":"endpoints"}` how the endpoints stand.

use crate::fault::FaultAt;
use crate::interrupted::{self, write_whole};
use crate::site::Site;
use serde::Deserialize;
use serde_json::{Value, json};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// No order is longer, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Show {
    Ledger,
    Endpoints,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Order {
    Show { show: Show },
    Fault(FaultAt),
}

pub(crate) async fn run(site: Rc<Site>, listener: TcpListener) {
    loop {
        let stream = interrupted::accept(&listener).await;
        let site = site.clone();
        spawn_local(async move {
            let _ = follow(&site, stream).await; // who has gone is owed nothing
        });
    }
}

async fn follow(site: &Rc<Site>, mut stream: TcpStream) -> std::io::Result<()> {
    let mut read = Vec::new();
    while let Some(line) = next_line(&mut stream, &mut read).await? {
        let answer = match serde_json::from_slice::<Order>(&line) {
            Ok(Order::Show { show: Show::Ledger }) => site.ledger(),
            Ok(Order::Show { show: Show::Endpoints }) => site.describe(),
            Ok(Order::Fault(fault)) => match site.order(&fault) {
                Ok(()) => json!({"ok": true}),
                Err(error) => problem(&error.to_string()),
            },
            Err(_) => problem("no such order"),
        };
        write_whole(&mut stream, format!("{answer}\n").as_bytes()).await?;
    }
    Ok(())
}

/// The next line of what was read, or is read then; none at the end, or where it grows too long.
async fn next_line(stream: &mut TcpStream, read: &mut Vec<u8>) -> std::io::Result<Option<Vec<u8>>> {
    loop {
        if let Some(end) = read.iter().position(|byte| *byte == b'\n') {
            return Ok(Some(read.drain(..=end).collect()));
        }
        if read.len() >= MAX_LINE_BYTES || interrupted::read_some(stream, read).await? == 0 {
            // A last line may come without its end.
            return Ok((!read.is_empty()).then(|| std::mem::take(read)));
        }
    }
}

fn problem(text: &str) -> Value {
    json!({"ok": false, "problem": text})
}
