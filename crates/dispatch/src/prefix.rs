//! Prompts as chains of parts, and which chains an engine is believed to keep.

use crate::interface::Generation;
use crate::rendezvous::{extend, stable_hash};
use std::collections::{BTreeMap, HashMap};

/// One part of a prompt together with all before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Link {
    /// Of the model, the adapter and the parts up to this one.
    pub hash: u64,
    pub tokens: u32,
}

/// The prompt of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptChain {
    pub links: Vec<Link>,
    /// Tokens of the whole prompt, which may be more than those of its parts.
    pub prompt_tokens: u32,
}

impl PromptChain {
    /// The chain of what a request asks for.
    pub fn of(generation: &Generation) -> Self {
        let mut hash = stable_hash(&generation.model);
        if let Some(adapter) = &generation.adapter {
            hash = extend(hash, stable_hash(adapter));
        }
        let mut links = Vec::with_capacity(generation.prefix.len());
        for part in &generation.prefix {
            hash = extend(hash, part.id);
            links.push(Link { hash, tokens: part.tokens });
        }
        let of_parts = links.iter().fold(0u32, |sum, link| sum.saturating_add(link.tokens));
        PromptChain { links, prompt_tokens: generation.prompt_tokens.max(of_parts) }
    }

    /// The leading parts, which other requests share; the last part is the request's or its session's own.
    pub fn shared(&self) -> &[Link] {
        self.links.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Tokens of the shared parts.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|link| link.tokens).sum()
    }

    /// What decides where the chain lives: its shared parts, or all of it where nothing is shared.
    pub fn affinity(&self) -> Option<u64> {
        let last_shared = self.shared().last();
        last_shared.or(self.links.last()).map(|link| link.hash)
    }
}

/// Chains that this router sent to one engine, least recently used first out.
#[derive(Debug, Default)]
pub struct PrefixCache {
    kept: HashMap<u64, Kept>,
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
    clock: u64,
}

#[derive(Debug, Clone, Copy)]
struct Kept {
    tokens: u32,
    used: u64,
}

impl PrefixCache {
    /// Tokens of the prompt's leading parts that are believed to be kept.
    pub fn cached_tokens(&self, chain: &PromptChain) -> u32 {
        let kept = chain.links.iter().take_while(|link| self.kept.contains_key(&link.hash));
        kept.map(|link| link.tokens).sum()
    }

    /// Notes that the engine has read the prompt; parts beyond the room in tokens give way.
    pub fn insert(&mut self, chain: &PromptChain, room_tokens: u64) {
        // The last part first: where room is short, the ends of chains give way before their beginnings.
        for link in chain.links.iter().rev() {
            self.renew(link);
        }
        while self.tokens > room_tokens
            && let Some((_, hash)) = self.by_use.pop_first()
        {
            let kept = self.kept.remove(&hash);
            self.tokens -= kept.map_or(0, |kept| u64::from(kept.tokens));
        }
    }

    /// Forgets everything, as after the unloading of weights.
    pub fn clear(&mut self) {
        *self = PrefixCache::default();
    }

    /// How many parts are believed to be kept.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether nothing is believed to be kept.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    fn renew(&mut self, link: &Link) {
        self.clock += 1;
        let kept = Kept { tokens: link.tokens, used: self.clock };
        if let Some(before) = self.kept.insert(link.hash, kept) {
            self.by_use.remove(&before.used);
            self.tokens -= u64::from(before.tokens);
        }
        self.by_use.insert(self.clock, link.hash);
        self.tokens += u64::from(link.tokens);
    }
}
