//! The file operations that the store needs; each may fail.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// One folder. Names are of files in it.
pub trait Disk {
    type File;

    /// Names of the files, in no particular order.
    fn list(&self) -> io::Result<Vec<String>>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// The first `most` bytes of a file, or fewer.
    fn read_head(&self, name: &str, most: usize) -> io::Result<Vec<u8>>;
    /// Creates an empty file; fails if the name exists.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    /// Appends all bytes, or fails after writing some of them.
    fn write(&self, file: &mut Self::File, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file that is open for writing.
    fn truncate(&self, file: &mut Self::File, size: u64) -> io::Result<()>;
    /// Makes the file's contents durable. After an error nothing is known of what was written since the last
    /// success, and a later success does not prove that it is on disk.
    fn sync(&self, file: &mut Self::File) -> io::Result<()>;
    /// The same for a file that another process has written.
    fn sync_existing(&self, name: &str) -> io::Result<()>;
    /// The same for files created, renamed and removed in the folder.
    fn sync_folder(&self) -> io::Result<()>;
    /// Renames a file, replacing the target.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Removes a file if it exists.
    fn discard(&self, name: &str) -> io::Result<()> {
        match self.remove(name) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }
}

/// A folder in the file system.
#[derive(Clone, Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// An existing folder.
    pub fn at(path: &Path) -> Self {
        Folder(path.to_owned())
    }

    /// Creates the folder if it does not exist.
    pub fn open(path: &Path) -> io::Result<Self> {
        match fs::create_dir(path) {
            Err(e) if e.kind() != io::ErrorKind::AlreadyExists => Err(e),
            _ => Ok(Folder(path.to_owned())),
        }
    }
}

impl Disk for Folder {
    type File = File;

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.0)? {
            // The store uses no names that are not valid Unicode.
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.0.join(name))
    }

    fn read_head(&self, name: &str, most: usize) -> io::Result<Vec<u8>> {
        let mut head = Vec::with_capacity(most);
        File::open(self.0.join(name))?.take(most as u64).read_to_end(&mut head)?;
        Ok(head)
    }

    fn create(&self, name: &str) -> io::Result<File> {
        // Append mode: after a truncation the next bytes go to the new end.
        OpenOptions::new().append(true).create_new(true).open(self.0.join(name))
    }

    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn truncate(&self, file: &mut File, size: u64) -> io::Result<()> {
        file.set_len(size)
    }

    fn sync(&self, file: &mut File) -> io::Result<()> {
        file.sync_data()
    }

    fn sync_existing(&self, name: &str) -> io::Result<()> {
        File::open(self.0.join(name))?.sync_all()
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.0.join(name))
    }
}
