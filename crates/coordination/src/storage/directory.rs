//! A flat directory of files, and its implementation on the file system.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;

/// A flat directory of files.
pub trait Directory {
    /// Names of all files.
    ///
    /// # Errors
    /// If the directory cannot be read.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// The content of a file.
    ///
    /// # Errors
    /// If the file cannot be read.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Writes a new file, replacing one of that name, and waits until its content is durable.
    ///
    /// # Errors
    /// If the write fails; part of the file may then exist.
    fn write_new(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Renames a file. Durable after [`Self::sync`].
    ///
    /// # Errors
    /// If the file cannot be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file. Durable after [`Self::sync`].
    ///
    /// # Errors
    /// If the file cannot be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Waits until all file names are durable.
    ///
    /// # Errors
    /// If the directory cannot be synced.
    fn sync(&mut self) -> io::Result<()>;
}

/// A directory of the file system.
#[derive(Debug)]
pub struct FileDirectory {
    path: PathBuf,
    handle: File,
}

impl FileDirectory {
    /// Opens a directory, which is created if it does not exist.
    ///
    /// # Errors
    /// If it cannot be created or opened.
    pub fn open(path: impl Into<PathBuf>) -> io::Result<Self> {
        let path = path.into();
        fs::create_dir_all(&path)?;
        let handle = File::open(&path)?;
        Ok(Self { path, handle })
    }
}

impl Directory for FileDirectory {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn write_new(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let path = self.path.join(name);
        let mut file = OpenOptions::new().write(true).create(true).truncate(true).open(path)?;
        file.write_all(bytes)?;
        file.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync(&mut self) -> io::Result<()> {
        self.handle.sync_all()
    }
}
