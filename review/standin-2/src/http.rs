//! A small HTTP server.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::Arc,
    thread,
};

/// A request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Serves requests on a listener; `answer` returns the status and the JSON body; 0 closes the connection.
pub fn serve<F>(listener: TcpListener, answer: F)
where
    F: Fn(&Request) -> (u16, serde_json::Value) + Send + Sync + 'static,
{
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || serve_connection(&stream, &*answer));
        }
    });
}

fn serve_connection(
    stream: &TcpStream,
    answer: &dyn Fn(&Request) -> (u16, serde_json::Value),
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let request = read_request(&mut reader)?;
        let (status, body) = answer(&request);
        if status == 0 {
            return None;
        }
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut stream = stream;
        stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_string(), words.next()?.to_string());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
    let mut request = Request {
        method,
        path,
        headers,
        body: Vec::new(),
    };
    let length = request
        .header("content-length")
        .and_then(|n| n.parse().ok());
    request.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}
