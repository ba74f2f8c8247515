//! The modules `policy` and `control` use no I/O and no clocks, so that simulations can run the code
//! of the daemon in virtual time.

use std::{
    fs,
    path::{Path, PathBuf},
};

const FORBIDDEN: [&str; 11] = [
    "crate::http_api",
    "crate::transport",
    "crate::backend",
    "crate::storage",
    "crate::daemon",
    "tokio::",
    "viz::",
    "quinn::",
    "hyper",
    "Instant::now",
    "SystemTime::now",
];

fn sources(folder: &Path) -> Vec<PathBuf> {
    fs::read_dir(folder)
        .expect("the folder exists")
        .map(|entry| entry.expect("the folder can be listed").path())
        .flat_map(|path| if path.is_dir() { sources(&path) } else { vec![path] })
        .collect()
}

#[test]
fn policy_and_control_import_no_io() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let found: Vec<String> = ["policy", "control"]
        .iter()
        .flat_map(|name| {
            sources(&root.join(name)).into_iter().chain([root.join(format!("{name}.rs"))])
        })
        .flat_map(|path| {
            let text = fs::read_to_string(&path).expect("sources are UTF-8");
            FORBIDDEN
                .iter()
                .filter(|word| text.contains(*word))
                .map(|word| format!("{} uses {word}", path.display()))
                .collect::<Vec<_>>()
        })
        .collect();
    assert!(found.is_empty(), "{found:#?}");
}
