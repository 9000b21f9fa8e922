//! Checks settings and record files, for people and for CI.

use {
    crate::errors::Exit,
    serde::Serialize,
    std::{
        fs,
        path::{Path, PathBuf},
    },
    whinlatch_wire::conf::{ConfFault, ConfFile, check_file},
};

/// What became of each file.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub(crate) struct Checked {
    files: Vec<CheckedFile>,
}

#[derive(Debug, Serialize)]
struct CheckedFile {
    file: PathBuf,
    holds: Option<&'static str>,
    records: Option<usize>,
    faults: Vec<Fault>,
}

#[derive(Debug, Serialize)]
struct Fault {
    line: usize,
    path: String,
    message: String,
}

pub(crate) fn check_files(files: &[PathBuf]) -> Checked {
    Checked {
        files: files.iter().map(|file| check_one(file)).collect(),
    }
}

impl Checked {
    pub fn exit(&self) -> Exit {
        if self.files.iter().all(|file| file.faults.is_empty()) {
            return Exit::Completed;
        }
        Exit::Usage
    }

    pub fn to_text(&self, json: bool) -> String {
        if json {
            return serde_json::to_string_pretty(self).unwrap_or_default();
        }
        self.files.iter().map(CheckedFile::to_text).collect()
    }
}

impl CheckedFile {
    fn to_text(&self) -> String {
        let file = self.file.display();
        if self.faults.is_empty() {
            let count = self
                .records
                .map(|count| format!("{count} "))
                .unwrap_or_default();
            return format!(
                "{file}: {count}{}, no fault\n",
                self.holds.unwrap_or_default()
            );
        }
        let lines: Vec<String> = self
            .faults
            .iter()
            .map(|fault| fault.to_text(&self.file))
            .collect();
        lines.concat()
    }
}

impl Fault {
    fn to_text(&self, file: &Path) -> String {
        let place = format!("{}:{}", file.display(), self.line);
        if self.path.is_empty() {
            return format!("{place}: {}\n", self.message);
        }
        format!("{place}: `{}`: {}\n", self.path, self.message)
    }
}

fn check_one(file: &Path) -> CheckedFile {
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            let message = format!("the file can't be read ({error}): check path and permissions");
            let fault = Fault {
                line: 0,
                path: String::new(),
                message,
            };
            return CheckedFile::faulty(file, vec![fault]);
        }
    };
    match check_file(&text) {
        Ok(ConfFile::Settings(_)) => CheckedFile::good(file, "settings", None),
        Ok(ConfFile::Records(entries)) => CheckedFile::good(file, "records", Some(entries.len())),
        Err(faults) => CheckedFile::faulty(file, faults.iter().map(to_fault).collect()),
    }
}

impl CheckedFile {
    fn good(file: &Path, holds: &'static str, records: Option<usize>) -> Self {
        Self {
            file: file.to_owned(),
            holds: Some(holds),
            records,
            faults: Vec::new(),
        }
    }

    fn faulty(file: &Path, faults: Vec<Fault>) -> Self {
        Self {
            file: file.to_owned(),
            holds: None,
            records: None,
            faults,
        }
    }
}

fn to_fault(fault: &ConfFault) -> Fault {
    Fault {
        line: fault.line,
        path: fault.path.clone(),
        message: fault.kind.to_string(),
    }
}
