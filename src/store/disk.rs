//! The calls on a folder that the store makes; each may fail.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// One folder. Names are of files in it.
pub trait Disk {
    type File;

    /// Names of the files, in no order.
    fn list(&self) -> io::Result<Vec<String>>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// The beginning of a file, so many bytes of it at most.
    fn read_head(&self, name: &str, most: usize) -> io::Result<Vec<u8>>;
    /// A new file, empty; an error if there is one of that name.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    /// Appends all, or fails after part of it.
    fn write(&self, file: &mut Self::File, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file that is being written back to so many bytes.
    fn cut(&self, file: &mut Self::File, size: u64) -> io::Result<()>;
    /// What the file holds outlasts a loss of power from here on. After an error nothing is known of what was
    /// written since the last success, and asking again tells nothing.
    fn sync(&self, file: &mut Self::File) -> io::Result<()>;
    /// The same for a file that another process has written.
    fn sync_left(&self, name: &str) -> io::Result<()>;
    /// The same for what was created, renamed and removed.
    fn sync_folder(&self) -> io::Result<()>;
    /// Puts a file in another's place.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Removes a file if it is there.
    fn discard(&self, name: &str) -> io::Result<()> {
        match self.remove(name) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }
}

/// A real folder.
#[derive(Clone, Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// A folder that is there.
    pub fn at(path: &Path) -> Self {
        Folder(path.to_owned())
    }

    /// Makes it if it is not there.
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
            // A name that is no text is none of the store's.
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
        // Appending: after a cut the next bytes go to the new end.
        OpenOptions::new().append(true).create_new(true).open(self.0.join(name))
    }

    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn cut(&self, file: &mut File, size: u64) -> io::Result<()> {
        file.set_len(size)
    }

    fn sync(&self, file: &mut File) -> io::Result<()> {
        file.sync_data()
    }

    fn sync_left(&self, name: &str) -> io::Result<()> {
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
