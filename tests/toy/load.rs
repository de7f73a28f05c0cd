//! Prompts of nested levels: handbooks, conventions, files, each owned by one workspace.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tealturn::{
    kernel::id::Version,
    prefix::{BLOCK_TOKENS, Hash, Owner},
    route::pool::mix,
};

/// The part of the requests that each workspace sends: a few are large.
const WORKSPACES: [f64; 8] = [0.34, 0.24, 0.16, 0.1, 0.06, 0.05, 0.03, 0.02];
const CONVENTIONS: u64 = 5;
const FILES: u64 = 12;
const HANDBOOK_BLOCKS: usize = 80;
const CONVENTION_BLOCKS: usize = 16;
const FILE_BLOCKS: usize = 24;

pub struct Prompt {
    pub owner: usize,
    pub levels: Vec<usize>,
    pub tokens: u64,
}

/// Prompts with their chains of block hashes.
pub struct Load {
    random: StdRng,
    /// The edition of each workspace's handbooks.
    pub editions: [u64; WORKSPACES.len()],
    pub owners: Vec<Owner>,
    pub prompts: Vec<Prompt>,
    pub chains: Vec<Vec<Hash>>,
}

impl Load {
    pub fn new(seed: u64) -> Load {
        let owner = |place| Owner {
            workspace: format!("workspace-{place}").as_str().into(),
            model: "m".into(),
            adapter: None,
            version: Version(1),
        };
        Load {
            random: StdRng::seed_from_u64(seed),
            editions: [0; WORKSPACES.len()],
            owners: (0..WORKSPACES.len()).map(owner).collect(),
            prompts: Vec::new(),
            chains: Vec::new(),
        }
    }

    /// Draws a prompt and returns its place.
    pub fn draw(&mut self) -> usize {
        let owner = self.pick(&WORKSPACES);
        let handbook = self.pick(&[0.7, 0.3]) as u64 + 2 * self.editions[owner];
        let convention = self.zipf(CONVENTIONS);
        let file = self.zipf(FILES);
        let question = self.random.random_range(16..200_u64);
        let mut chain = Vec::new();
        let mut key = mix(owner as u64 + 1);
        let parts = [
            (handbook, HANDBOOK_BLOCKS),
            (convention, CONVENTION_BLOCKS),
            (file, FILE_BLOCKS),
            (self.random.random(), question as usize / BLOCK_TOKENS),
        ];
        for (id, blocks) in parts {
            key = mix(key ^ mix(id));
            for _ in 0..blocks {
                key = mix(key);
                chain.push(Hash(key));
            }
        }
        let convention_end = HANDBOOK_BLOCKS + CONVENTION_BLOCKS;
        let file_end = convention_end + FILE_BLOCKS;
        self.prompts.push(Prompt {
            owner,
            levels: vec![HANDBOOK_BLOCKS, convention_end, file_end],
            tokens: (file_end * BLOCK_TOKENS) as u64 + question,
        });
        self.chains.push(chain);
        self.prompts.len() - 1
    }

    pub fn random(&mut self) -> u64 {
        self.random.random()
    }

    fn pick(&mut self, parts: &[f64]) -> usize {
        let mut left = self.random.random::<f64>() * parts.iter().sum::<f64>();
        for (place, part) in parts.iter().enumerate() {
            left -= part;
            if left < 0.0 {
                return place;
            }
        }
        parts.len() - 1
    }

    fn zipf(&mut self, count: u64) -> u64 {
        let parts: Vec<f64> = (1..=count).map(|it| 1.0 / it as f64).collect();
        self.pick(&parts) as u64
    }
}
