//! Ring of pages in which a gateway keeps the origins of its streams in the store.

use std::time::{Duration, Instant};

use crate::stream_origins::{OriginConfig, StreamOrigin};

/// Share of the store's writes per second that all gateways together use for origins.
const WRITE_SHARE: f64 = 0.2;

/// Shortest time between two writes of one gateway.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Share of the store's reads per second that all gateways together use for the pages of the others.
const READ_SHARE: f64 = 0.2;

/// Shortest time between the starts of two reads of one gateway.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time between the starts of two reads of one gateway: callers wait for it.
const MAX_READ_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Clone, Debug, Default)]
struct Page {
    origins: Vec<StreamOrigin>,
    /// Number of the first origin that was added to the page.
    first: u64,
    /// Number of the first origin on the page that the store may lack.
    unwritten_from: Option<u64>,
    /// The same for a write that has begun.
    writing_from: Option<u64>,
}

/// Ring of pages in which a gateway keeps the origins of its streams in the store.
///
/// Nothing is written before the pages of the gateway's previous incarnation have been loaded,
/// since their origins are still needed. Added origins are numbered from 0.
#[derive(Clone, Debug)]
pub struct OriginPages {
    cfg: OriginConfig,
    pages: Vec<Page>,
    current: usize,
    opened_at: Option<Instant>,
    is_loaded: bool,
    next_number: u64,
}

impl OriginPages {
    /// Creates an empty ring.
    pub fn new(cfg: OriginConfig) -> Self {
        Self {
            pages: vec![Page::default(); cfg.page_count()],
            cfg,
            current: 0,
            opened_at: None,
            is_loaded: false,
            next_number: 0,
        }
    }

    /// Loads the pages that the store holds, with their slots, the newest last; the ring continues
    /// on the newest.
    pub fn load(&mut self, stored: Vec<(usize, Vec<StreamOrigin>)>, now: Instant) {
        let early = std::mem::take(&mut self.pages[self.current]);
        for (slot, origins) in stored {
            if let Some(page) = self.pages.get_mut(slot) {
                page.origins = origins;
                self.current = slot;
            }
        }
        let page = &mut self.pages[self.current];
        page.origins.extend(early.origins);
        page.first = early.first;
        page.unwritten_from = early.unwritten_from;
        self.opened_at = Some(now);
        self.is_loaded = true;
    }

    /// Adds the origin of a stream; returns its number.
    pub fn add(&mut self, origin: StreamOrigin, now: Instant) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let opened_at = *self.opened_at.get_or_insert(now);
        let is_over = now.saturating_duration_since(opened_at) >= self.cfg.page_span;
        let is_full = self.pages[self.current].origins.len() >= self.cfg.max_page_entries;
        if self.is_loaded && (is_over || is_full) {
            self.current = (self.current + 1) % self.pages.len();
            self.pages[self.current] = Page {
                first: number,
                ..Page::default()
            };
            self.opened_at = Some(now);
        }
        let page = &mut self.pages[self.current];
        page.origins.push(origin);
        page.unwritten_from.get_or_insert(number);
        number
    }

    /// Has the current page written although no origin was added to it.
    pub fn refresh(&mut self) {
        let next_number = self.next_number;
        self.pages[self.current]
            .unwritten_from
            .get_or_insert(next_number);
    }

    /// Takes a page that the store does not have yet, with its slot.
    pub fn take_unwritten(&mut self) -> Option<(usize, Vec<StreamOrigin>)> {
        if !self.is_loaded {
            return None;
        }
        let slot = self
            .pages
            .iter()
            .position(|page| page.unwritten_from.is_some())?;
        let page = &mut self.pages[slot];
        page.writing_from = page.unwritten_from.take();
        Some((slot, page.origins.clone()))
    }

    /// Records that the store has acknowledged the page that was taken.
    pub fn record_written(&mut self, slot: usize) {
        if let Some(page) = self.pages.get_mut(slot) {
            page.writing_from = None;
        }
    }

    /// Records that a page has to be written again, because its write may have failed.
    pub fn record_unwritten(&mut self, slot: usize) {
        if let Some(page) = self.pages.get_mut(slot) {
            page.writing_from = None;
            page.unwritten_from = Some(page.first);
        }
    }

    /// Has all pages written again, after the store returned to an older copy.
    pub fn rewrite(&mut self) {
        for page in &mut self.pages {
            page.unwritten_from = (!page.origins.is_empty()).then_some(page.first);
        }
        // The current page also names versions, with or without origins.
        self.refresh();
    }

    /// Returns the number of the first origin that the store may lack.
    pub fn stored_before(&self) -> u64 {
        let missing = self
            .pages
            .iter()
            .flat_map(|page| [page.unwritten_from, page.writing_from]);
        missing.flatten().min().unwrap_or(self.next_number)
    }
}

/// Returns the time between two writes of one of `gateways`, at most `writes_per_s` of which the
/// store accepts from all callers.
pub fn origin_write_interval(gateways: usize, writes_per_s: f64) -> Duration {
    let seconds = gateways as f64 / (writes_per_s * WRITE_SHARE).max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(seconds)
        .unwrap_or(Duration::MAX)
        .max(MIN_WRITE_INTERVAL)
}

/// Returns the time between the starts of two reads of all pages by one of `gateways`, at most `reads_per_s` of
/// which the store accepts from all callers.
///
/// Load pattern: a gateway ends, and all of its callers resume their streams at the others within milliseconds.
/// Each of them needs a read that begins after its request.
pub fn origin_read_interval(gateways: usize, reads_per_s: f64) -> Duration {
    let seconds = gateways as f64 / (reads_per_s * READ_SHARE).max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(seconds)
        .unwrap_or(Duration::MAX)
        .clamp(MIN_READ_INTERVAL, MAX_READ_INTERVAL)
}
