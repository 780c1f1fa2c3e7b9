//! `staircross plan`: works out a size from the committed slopes.

use crate::Verdict;
use crate::flags;
use staircross_capacity::slopes::COMMITTED;
use staircross_capacity::{Sizes, Slopes, plan};

/// Runs `plan`.
pub fn run(command: &flags::Plan) -> Result<Verdict, String> {
    let origin = command.sizes.display().to_string();
    let text = std::fs::read_to_string(&command.sizes).map_err(|error| format!("{origin}: {error}"))?;
    let sizes = Sizes::from_toml(&origin, &text).map_err(|error| error.to_string())?;
    let slopes = match &command.slopes {
        Some(path) => {
            let origin = path.display().to_string();
            let text = std::fs::read_to_string(path).map_err(|error| format!("{origin}: {error}"))?;
            Slopes::from_toml(&origin, &text)
        }
        None => Slopes::from_toml("committed slopes", COMMITTED),
    };
    let worked_out = plan(&sizes, &slopes.map_err(|error| error.to_string())?);
    if command.json {
        println!("{}", serde_json::to_string(&worked_out).map_err(|error| error.to_string())?);
    } else {
        print!("{}", worked_out.markdown());
        println!("\n{}", worked_out.verdict());
    }
    Ok(Verdict::Done)
}
