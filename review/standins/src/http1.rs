//! Minimal HTTP/1.1 reader for the stand-ins.

use tokio::io::{AsyncRead, AsyncReadExt};

/// Largest head that is read.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// First line and headers of a message.
#[derive(Clone, Debug, Default)]
pub(crate) struct Head {
    pub(crate) first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the word of the first line with this index.
    pub(crate) fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }
}

/// Reads messages from a connection; bytes behind a message are kept for the next one.
pub(crate) struct Reader<R> {
    stream: R,
    buf: Vec<u8>,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    pub(crate) fn new(stream: R) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Reads more bytes; returns false at the end of the connection.
    async fn fill(&mut self) -> bool {
        let mut chunk = [0; 16 << 10];
        match self.stream.read(&mut chunk).await {
            Ok(0) | Err(_) => false,
            Ok(n) => {
                self.buf.extend_from_slice(&chunk[..n]);
                true
            }
        }
    }

    /// Waits until the peer closes the connection.
    pub(crate) async fn closed(&mut self) {
        while self.fill().await {}
    }

    /// Reads a head; `None` if the connection ends before it is complete.
    pub(crate) async fn head(&mut self) -> Option<Head> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let bytes: Vec<u8> = self.buf.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&bytes).into_owned();
                let mut lines = text.split("\r\n");
                let first_line = lines.next()?.to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
                    .collect();
                return Some(Head {
                    first_line,
                    headers,
                });
            }
            if self.buf.len() > MAX_HEAD_BYTES || !self.fill().await {
                return None;
            }
        }
    }

    async fn exactly(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buf.len() < count {
            if !self.fill().await {
                return None;
            }
        }
        Some(self.buf.drain(..count).collect())
    }

    async fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let bytes: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&bytes[..end]).into_owned());
            }
            if !self.fill().await {
                return None;
            }
        }
    }

    /// Reads the body that belongs to a head, and passes what arrives to `on_data`; returns
    /// whether it is complete.
    pub(crate) async fn body(&mut self, head: &Head, mut on_data: impl FnMut(&[u8])) -> bool {
        if head
            .get("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"))
        {
            loop {
                let Some(line) = self.line().await else {
                    return false;
                };
                let size = line.split(';').next().unwrap_or("").trim();
                let Ok(size) = usize::from_str_radix(size, 16) else {
                    return false;
                };
                let Some(data) = self.exactly(size + 2).await else {
                    return false;
                };
                if size == 0 {
                    return true;
                }
                on_data(&data[..size]);
            }
        }
        let length = head.get("content-length").and_then(|v| v.parse().ok());
        match self.exactly(length.unwrap_or(0)).await {
            Some(data) => {
                on_data(&data);
                true
            }
            None => false,
        }
    }
}
