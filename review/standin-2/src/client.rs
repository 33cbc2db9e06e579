//! Clients: sessions over the line protocol.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The answer to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub rows: Vec<String>,
    /// The signature, or the code and text of the error.
    pub result: Result<String, String>,
    pub state: String,
}

impl Answer {
    /// Whether the error promises that nothing of the attempt is kept.
    pub fn is_promise(&self) -> bool {
        let code = self
            .result
            .as_ref()
            .err()
            .and_then(|error| error.split(' ').next());
        let promises = [
            "BUSY",
            "ABORTED",
            "LAGGING",
            "READONLY",
            "MISROUTED",
            "TOOMANY",
        ];
        code.is_some_and(|code| promises.contains(&code))
    }
}

/// A session.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Opens a session; `None` if the node refuses it or does not answer within two seconds.
    pub fn open(address: SocketAddr, database: &str) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        let mut client = Self { stream, reader };
        client
            .stream
            .write_all(format!("START {database} client\r\n").as_bytes())
            .ok()?;
        let line = client.line()?;
        line.starts_with("READY").then_some(client)
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let count = self.reader.read_line(&mut line).ok()?;
        (count > 0).then(|| line.trim_end_matches("\r\n").to_string())
    }

    /// Sends a request and returns the answer; `None` if the connection broke or no answer came.
    pub fn query(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.stream
            .write_all(format!("QUERY {id} {text}\r\n").as_bytes())
            .ok()?;
        let mut answer = Answer {
            rows: Vec::new(),
            result: Err("none".into()),
            state: String::new(),
        };
        loop {
            let line = self.line()?;
            let (verb, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match verb {
                "ROW" => answer.rows.push(rest.into()),
                "DONE" => answer.result = Ok(rest.into()),
                "ERROR" => answer.result = Err(rest.into()),
                "READY" => {
                    answer.state = rest.split(' ').next()?.into();
                    return Some(answer);
                }
                _ => return None,
            }
        }
    }
}
