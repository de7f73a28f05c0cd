//! Generates prompts with nested levels: handbooks, conventions and files of one workspace.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tealturn::{
    kernel::id::Version,
    prefix::{BLOCK_TOKENS, Hash, Owner},
    route::pool::mix,
};

/// Share of the requests that each workspace sends. A few workspaces send most of them.
const WORKSPACE_SHARES: [f64; 8] = [0.34, 0.24, 0.16, 0.1, 0.06, 0.05, 0.03, 0.02];
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

/// A workload: the prompts generated so far and their chains of block hashes.
pub struct Workload {
    random: StdRng,
    /// The current edition of each workspace's handbooks.
    pub editions: [u64; WORKSPACE_SHARES.len()],
    pub owners: Vec<Owner>,
    pub prompts: Vec<Prompt>,
    pub chains: Vec<Vec<Hash>>,
}

impl Workload {
    pub fn new(seed: u64) -> Workload {
        let owner = |index| Owner {
            workspace: format!("workspace-{index}").as_str().into(),
            model: "m".into(),
            adapter: None,
            version: Version(1),
        };
        Workload {
            random: StdRng::seed_from_u64(seed),
            editions: [0; WORKSPACE_SHARES.len()],
            owners: (0..WORKSPACE_SHARES.len()).map(owner).collect(),
            prompts: Vec::new(),
            chains: Vec::new(),
        }
    }

    /// Generates a prompt and returns its index.
    pub fn generate_prompt(&mut self) -> usize {
        let owner = self.pick_weighted(&WORKSPACE_SHARES);
        let handbook = self.pick_weighted(&[0.7, 0.3]) as u64 + 2 * self.editions[owner];
        let convention = self.pick_zipf(CONVENTIONS);
        let file = self.pick_zipf(FILES);
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

    fn pick_weighted(&mut self, weights: &[f64]) -> usize {
        let mut remaining = self.random.random::<f64>() * weights.iter().sum::<f64>();
        for (index, weight) in weights.iter().enumerate() {
            remaining -= weight;
            if remaining < 0.0 {
                return index;
            }
        }
        weights.len() - 1
    }

    fn pick_zipf(&mut self, count: u64) -> u64 {
        let weights: Vec<f64> = (1..=count).map(|it| 1.0 / it as f64).collect();
        self.pick_weighted(&weights) as u64
    }
}
