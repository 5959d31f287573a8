//! Connections that go silent: noticed, replaced, and no second run.

use std::time::Duration;

use monsoonnotch_standins::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::site::Site;
use crate::site::tapped;

#[tokio::test(flavor = "multi_thread")]
async fn silent_callers_hold_no_slot_after_the_timeout() {
    let (platform, _tap) = tapped().await;
    let site = Site::start(platform, 1, "[limits]\nreceive_ms = 1000\n").await;
    let mut silent = Vec::new();
    for _ in 0..8 {
        let mut stream = TcpStream::connect(site.addr(0))
            .await
            .expect("a connection");
        let text = format!(
            "GET / HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\nprofile: hold\r\n\
             x-chunks: 4000\r\nx-chunk-bytes: 65536\r\n\r\n",
            site.key
        );
        stream.write_all(text.as_bytes()).await.expect("written");
        silent.push(stream);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(site.platform.workers[0].busy(), 8);
    eventually("the slots are free again", || async {
        site.platform.workers[0].busy() == 0
    })
    .await;
    eventually("a request is answered", || async {
        let a = site.send(site.addr(0), "GET", "hold", &[]).await;
        a.is_some_and(|a| a.status == 200)
    })
    .await;
    assert_eq!(site.platform.fleet.breaches(), []);
}
