//! Tests the HTTP endpoint over the loopback interface.

use siskinhook_telemetry::{Metrics, Readiness, serve};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::oneshot,
};

async fn http_get(address: std::net::SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the endpoint listens");
    let request = format!("GET {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the endpoint reads");
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .await
        .expect("the endpoint answers");
    answer
}

#[tokio::test]
async fn endpoint_serves_metrics_health_and_readiness() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let metrics = Metrics::new().unwrap();
    let readiness = Readiness::waiting("no catalogue yet");
    let (stop, stopped) = oneshot::channel::<()>();
    let server = tokio::spawn(serve(listener, metrics.clone(), readiness.clone(), async {
        let _ = stopped.await;
    }));
    metrics.set_callers(7);
    let text = http_get(address, "/metrics").await;
    assert!(text.contains("siskinhook_callers"), "{text}");
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(
        http_get(address, "/health")
            .await
            .starts_with("HTTP/1.1 200")
    );
    let waiting = http_get(address, "/ready").await;
    assert!(waiting.starts_with("HTTP/1.1 503") && waiting.contains("no catalogue yet"));
    readiness.set_ready();
    assert!(
        http_get(address, "/ready")
            .await
            .starts_with("HTTP/1.1 200")
    );
    assert!(
        http_get(address, "/other")
            .await
            .starts_with("HTTP/1.1 404")
    );
    stop.send(()).unwrap();
    server.await.unwrap().unwrap();
}
