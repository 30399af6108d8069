//! Discovery as the soak needs it: a list that does not change, watches that stay open.

use super::settings::LIST_VERSION;
use super::wire::Connection;
use serde_json::Value;
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Interval of a watch's empty lines.
const WATCH_INTERVAL: Duration = Duration::from_secs(2);

/// Answers calls and watches with this list until dropped.
pub async fn serve(listener: TcpListener, targets: Vec<Value>) -> io::Result<()> {
    let list = serde_json::json!({"rev": LIST_VERSION, "all": true, "targets": targets}).to_string();
    loop {
        let (stream, _) = listener.accept().await?;
        let list = list.clone();
        tokio::spawn(async move {
            let mut connection = Connection::new(stream);
            while let Ok(head) = connection.read_head().await {
                let is_watch = head.first_line.contains("watch=1");
                let served = if is_watch {
                    watch(&mut connection, &list).await
                } else {
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                    connection.stream.write_all((head + &list).as_bytes()).await
                };
                if served.is_err() {
                    return;
                }
            }
        });
    }
}

/// Keeps a watch open: the whole list, and then empty lines.
async fn watch(connection: &mut Connection, list: &str) -> io::Result<()> {
    let stream = &mut connection.stream;
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let line = format!("{list}\n");
    stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
    loop {
        sleep(WATCH_INTERVAL).await;
        stream.write_all(b"1\r\n\n\r\n").await?;
    }
}
