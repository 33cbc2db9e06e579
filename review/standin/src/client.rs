//! Clients of the line protocol.

use std::{
    io::{BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::database::read_line;

pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

/// An answer: its rows, and the signature or the code and text of the error.
pub struct Answer {
    pub rows: Vec<Vec<u8>>,
    pub result: Result<String, String>,
}

impl Client {
    /// Opens a session.
    pub fn open(address: SocketAddr, database: &str) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let mut client = Self {
            reader: BufReader::new(stream.try_clone().ok()?),
            stream,
        };
        client.send(format!("START {database} u1\r\n").as_bytes())?;
        read_line(&mut client.reader)?
            .starts_with(b"READY")
            .then_some(client)
    }

    fn send(&mut self, bytes: &[u8]) -> Option<()> {
        self.stream.write_all(bytes).ok()
    }

    /// Sends a statement. Returns `None` if the connection breaks or no answer comes.
    pub fn query(&mut self, id: &str, text: &[u8]) -> Option<Answer> {
        let line = [b"QUERY ", id.as_bytes(), b" ", text, b"\r\n"].concat();
        self.send(&line)?;
        let mut answer = Answer {
            rows: Vec::new(),
            result: Err("no result".into()),
        };
        loop {
            let line = read_line(&mut self.reader)?;
            if let Some(row) = line.strip_prefix(b"ROW ") {
                answer.rows.push(row.to_vec());
            } else if let Some(signature) = line.strip_prefix(b"DONE ") {
                answer.result = Ok(String::from_utf8_lossy(signature).into_owned());
            } else if let Some(error) = line.strip_prefix(b"ERROR ") {
                answer.result = Err(String::from_utf8_lossy(error).into_owned());
            } else if line.starts_with(b"READY") {
                return Some(answer);
            }
        }
    }
}
