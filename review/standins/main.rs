//! Runs one of the review's scripts: the name of the script, then the folder of its case.

#![allow(dead_code, reason = "the scripts use parts of the kit")]

mod drill;
mod endless;
mod kit;
mod leaving;
mod unframed;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if let [_, name, address, id] = &args[..]
        && name == "runner"
    {
        std::process::exit(unframed::runner(address, id));
    }
    let (name, folder) = match &args[..] {
        [_, name, folder] => (name.as_str(), folder.as_str()),
        _ => {
            eprintln!("usage: standins SCRIPT FOLDER");
            std::process::exit(2);
        }
    };
    let code = match name {
        "drill" => drill::run(folder),
        "endless" => endless::run(folder, endless::Endless::Body),
        "heads" => endless::run(folder, endless::Endless::Head),
        "leaving" => leaving::run(folder),
        "unframed" => unframed::run(folder),
        _ => {
            eprintln!("no script is named {name}");
            2
        }
    };
    std::process::exit(code);
}
