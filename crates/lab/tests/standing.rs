//! The standing experiments can be parsed and describe the same fleet at two sizes.

use violetyoke_lab::experiment::{parse, variants};

#[test]
fn every_standing_experiment_can_be_parsed_at_both_sizes() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/experiments");
    let mut names = Vec::new();
    for file in std::fs::read_dir(folder).expect("the experiments' folder") {
        let path = file.expect("a file").path();
        let text = std::fs::read_to_string(&path).expect("a text");
        let read = parse(&text).unwrap_or_else(|errors| panic!("{}: {errors}", path.display()));
        let sizes: Vec<_> = variants(&text, &read)
            .expect("good values")
            .iter()
            .map(|variant| variant.experiment.ingresses)
            .collect();
        assert_eq!(sizes, [60, 300], "{}", path.display());
        names.push(read.name);
    }
    names.sort();
    assert_eq!(names, ["calm", "herd", "hot", "roll", "split", "turnover", "zone"]);
}
