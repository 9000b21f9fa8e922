//! The `check` command: validates settings and record files, with output for people and for CI.

use {
    crate::errors::Exit,
    serde::Serialize,
    std::{
        fs,
        path::{Path, PathBuf},
    },
    whinlatch_wire::conf::{ConfFault, ConfFile, check_file},
};

/// Results of all checked files, in the order of the command line. `--json` prints it as a list.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub(crate) struct CheckReport {
    files: Vec<FileReport>,
}

#[derive(Debug, Serialize)]
struct FileReport {
    file: PathBuf,
    /// What the file contains, `settings` or `records`; `None` if it has faults.
    #[serde(rename = "holds")]
    kind: Option<&'static str>,
    /// Number of records; `None` unless it is a valid file of records.
    records: Option<usize>,
    faults: Vec<Fault>,
}

#[derive(Debug, Serialize)]
struct Fault {
    /// Line of the file, from 1; 0 if the file can't be read.
    line: usize,
    /// Path of the field, such as `limits.read_timeout_ms`; empty if the fault concerns the whole file.
    path: String,
    message: String,
}

pub(crate) fn check_files(files: &[PathBuf]) -> CheckReport {
    CheckReport {
        files: files.iter().map(|file| check_one_file(file)).collect(),
    }
}

impl CheckReport {
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
        self.files.iter().map(FileReport::to_text).collect()
    }
}

impl FileReport {
    fn to_text(&self) -> String {
        let file = self.file.display();
        if self.faults.is_empty() {
            let count = self
                .records
                .map(|count| format!("{count} "))
                .unwrap_or_default();
            return format!(
                "{file}: {count}{}, no fault\n",
                self.kind.unwrap_or_default()
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
        let location = format!("{}:{}", file.display(), self.line);
        if self.path.is_empty() {
            return format!("{location}: {}\n", self.message);
        }
        format!("{location}: `{}`: {}\n", self.path, self.message)
    }
}

fn check_one_file(file: &Path) -> FileReport {
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            let message =
                format!("can't read the file ({error}): check the path and its permissions");
            let fault = Fault {
                line: 0,
                path: String::new(),
                message,
            };
            return FileReport::invalid(file, vec![fault]);
        }
    };
    match check_file(&text) {
        Ok(ConfFile::Settings(_)) => FileReport::valid(file, "settings", None),
        Ok(ConfFile::Records(entries)) => FileReport::valid(file, "records", Some(entries.len())),
        Err(faults) => FileReport::invalid(file, faults.iter().map(to_fault).collect()),
    }
}

impl FileReport {
    fn valid(file: &Path, kind: &'static str, records: Option<usize>) -> Self {
        Self {
            file: file.to_owned(),
            kind: Some(kind),
            records,
            faults: Vec::new(),
        }
    }

    fn invalid(file: &Path, faults: Vec<Fault>) -> Self {
        Self {
            file: file.to_owned(),
            kind: None,
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
