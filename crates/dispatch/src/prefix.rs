//! Prompts as chains of parts, and a model of the prefix cache of an engine.

use crate::interface::Generation;
use crate::rendezvous::{combine, stable_hash};
use std::collections::{BTreeMap, HashMap};

/// A part of a prompt together with all parts before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Link {
    /// Hash of the model, the adapter and the parts up to this one.
    pub hash: u64,
    /// Tokens of the part itself.
    pub tokens: u32,
}

/// The prompt of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptChain {
    /// The parts, in order.
    pub links: Vec<Link>,
    /// Tokens of the complete prompt, which may be more than the sum of its parts.
    pub prompt_tokens: u32,
}

impl PromptChain {
    /// The chain of the prompt of a request.
    pub fn of(generation: &Generation) -> Self {
        let mut hash = stable_hash(&generation.model);
        if let Some(adapter) = &generation.adapter {
            hash = combine(hash, stable_hash(adapter));
        }
        let mut links = Vec::with_capacity(generation.prefix.len());
        for part in &generation.prefix {
            hash = combine(hash, part.id);
            links.push(Link { hash, tokens: part.tokens });
        }
        let of_parts = links.iter().fold(0u32, |sum, link| sum.saturating_add(link.tokens));
        PromptChain { links, prompt_tokens: generation.prompt_tokens.max(of_parts) }
    }

    /// The leading parts, which other requests share; the last part belongs to one request or session.
    pub fn shared(&self) -> &[Link] {
        self.links.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Tokens of the shared parts.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|link| link.tokens).sum()
    }

    /// The key of session affinity: the hash of the shared parts, or of the complete chain if nothing is shared.
    pub fn affinity(&self) -> Option<u64> {
        let last_shared = self.shared().last();
        last_shared.or(self.links.last()).map(|link| link.hash)
    }
}

/// Whether the prefix of a prompt is expected in the cache of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PrefixExpectation {
    /// Not expected.
    #[default]
    Absent,
    /// Expected, because this router sent it there before.
    Cached,
    /// Possible, because the endpoint owns the prefix and other routers may have sent it there.
    Owned,
}

/// A model of the prefix cache of one engine: the chains that this router sent there, evicted in LRU order.
#[derive(Debug, Default)]
pub struct PrefixCache {
    entries: HashMap<u64, CacheEntry>,
    by_last_use: BTreeMap<u64, u64>,
    tokens: u64,
    clock: u64,
}

#[derive(Debug, Clone, Copy)]
struct CacheEntry {
    tokens: u32,
    used: u64,
}

impl PrefixCache {
    /// Tokens of the leading parts of the prompt that are expected in the cache.
    pub fn cached_tokens(&self, chain: &PromptChain) -> u32 {
        let kept = chain.links.iter().take_while(|link| self.entries.contains_key(&link.hash));
        kept.map(|link| link.tokens).sum()
    }

    /// Records that the engine has prefilled the prompt. Parts beyond the capacity are evicted.
    pub fn insert(&mut self, chain: &PromptChain, capacity_tokens: u64) {
        // The last part first: the ends of chains are evicted before their beginnings.
        for link in chain.links.iter().rev() {
            self.touch(link);
        }
        while self.tokens > capacity_tokens
            && let Some((_, hash)) = self.by_last_use.pop_first()
        {
            let kept = self.entries.remove(&hash);
            self.tokens -= kept.map_or(0, |kept| u64::from(kept.tokens));
        }
    }

    /// Removes everything, as after the weights were unloaded.
    pub fn clear(&mut self) {
        *self = PrefixCache::default();
    }

    /// Number of cached parts.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn touch(&mut self, link: &Link) {
        self.clock += 1;
        let kept = CacheEntry { tokens: link.tokens, used: self.clock };
        if let Some(before) = self.entries.insert(link.hash, kept) {
            self.by_last_use.remove(&before.used);
            self.tokens -= u64::from(before.tokens);
        }
        self.by_last_use.insert(self.clock, link.hash);
        self.tokens += u64::from(link.tokens);
    }
}
