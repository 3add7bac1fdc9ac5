//! Gateways that know the origin of a stream before the store does.
//!
//! Load pattern: a gateway that does not reach the store ends, or any gateway right after the first
//! event of a stream. Its callers reconnect at once, so two other gateways are told each origin
//! before its caller receives the first event. They write the origins that their gateway does not
//! write in time.

use std::collections::{HashMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use crate::hash::{rendezvous_weight, stable_hash};
use crate::stream_origins::{StreamId, StreamOrigin};

/// Number of gateways that are told the origin of a stream.
pub const ORIGIN_HOLDERS: usize = 2;

/// Number of gateways that are asked for the origin of a stream. It exceeds the number of those that were
/// told, since gateways differ in whom they know.
pub const ASKED_ORIGIN_HOLDERS: usize = ORIGIN_HOLDERS + 2;

/// Maximum number of unstored origins that are held for one gateway.
const MAX_UNSTORED: usize = 4_096;

/// Maximum number of gateways for which unstored origins are held.
const MAX_ANNOUNCERS: usize = 256;

/// Time beyond two write intervals after which a gateway is assumed not to write an origin.
const WRITE_MARGIN: Duration = Duration::from_secs(1);

/// Returns the gateways, at most `count` of the candidates, that hold the origin of a stream.
pub fn origin_holders(
    stream: StreamId,
    candidates: impl Iterator<Item = Ipv4Addr>,
    count: usize,
) -> Vec<Ipv4Addr> {
    let weight = |ip: &Ipv4Addr| rendezvous_weight(stream.0, stable_hash(&ip.octets()));
    let mut holders: Vec<Ipv4Addr> = candidates.collect();
    holders.sort_unstable_by_key(|ip| std::cmp::Reverse((weight(ip), *ip)));
    holders.dedup();
    holders.truncate(count);
    holders
}

/// An origin as its gateway announced it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncedOrigin {
    /// The origin.
    pub origin: StreamOrigin,
    /// Number that its gateway gave it.
    pub number: u64,
}

#[derive(Clone, Debug)]
struct Announcer {
    incarnation: u64,
    /// Announced origins that the store may lack, with the time at which they arrived.
    unstored: VecDeque<(AnnouncedOrigin, Instant)>,
}

/// Origins that other gateways announced and that the store may lack.
#[derive(Clone, Debug, Default)]
pub struct UnstoredOrigins {
    announcers: HashMap<Ipv4Addr, Announcer>,
    /// Origins of gateways that ended.
    orphans: Vec<StreamOrigin>,
}

impl UnstoredOrigins {
    /// Records an origin that an incarnation of a gateway announced.
    pub fn record(
        &mut self,
        from: Ipv4Addr,
        incarnation: u64,
        announced: AnnouncedOrigin,
        now: Instant,
    ) {
        if self.announcers.len() >= MAX_ANNOUNCERS && !self.announcers.contains_key(&from) {
            return;
        }
        self.begin_incarnation(from, incarnation);
        let announcer = self.announcers.entry(from).or_insert(Announcer {
            incarnation,
            unstored: VecDeque::new(),
        });
        if announcer.unstored.len() >= MAX_UNSTORED {
            announcer.unstored.pop_front();
        }
        announcer.unstored.push_back((announced, now));
    }

    /// Records that the store has all origins of a gateway's incarnation with lower numbers than
    /// `stored_before`.
    pub fn record_stored(&mut self, from: Ipv4Addr, incarnation: u64, stored_before: u64) {
        self.begin_incarnation(from, incarnation);
        if let Some(announcer) = self.announcers.get_mut(&from) {
            let is_unstored = |announced: &AnnouncedOrigin| announced.number >= stored_before;
            announcer
                .unstored
                .retain(|(announced, _)| is_unstored(announced));
            if announcer.unstored.is_empty() {
                self.announcers.remove(&from);
            }
        }
    }

    /// Takes the origins that their gateways did not write in time.
    pub fn take_orphans(&mut self, write_interval: Duration, now: Instant) -> Vec<StreamOrigin> {
        let patience = write_interval
            .saturating_mul(2)
            .saturating_add(WRITE_MARGIN);
        let mut orphans = std::mem::take(&mut self.orphans);
        for announcer in self.announcers.values_mut() {
            while let Some((announced, at)) = announcer.unstored.front()
                && now.saturating_duration_since(*at) >= patience
            {
                orphans.push(announced.origin);
                announcer.unstored.pop_front();
            }
        }
        self.announcers
            .retain(|_, announcer| !announcer.unstored.is_empty());
        orphans
    }

    /// Makes the origins of an earlier incarnation orphans: it has ended.
    fn begin_incarnation(&mut self, from: Ipv4Addr, incarnation: u64) {
        let has_ended = |announcer: &Announcer| announcer.incarnation != incarnation;
        if self.announcers.get(&from).is_some_and(has_ended)
            && let Some(ended) = self.announcers.remove(&from)
        {
            let unstored = ended.unstored.iter();
            self.orphans
                .extend(unstored.map(|(announced, _)| announced.origin));
        }
    }
}
