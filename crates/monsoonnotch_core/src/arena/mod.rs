//! A growable container whose items are addressed by small `Copy` keys.

use std::marker::PhantomData;

/// A key that addresses an item of an arena by its index.
pub trait Key: Copy {
    /// Returns the key of the item at `index`.
    fn from_index(index: usize) -> Self;
    /// Returns the index of the item.
    fn index(self) -> usize;
}

impl Key for crate::ident::VmKey {
    fn from_index(index: usize) -> Self {
        Self(u32::try_from(index).expect("an arena holds less than 2^32 items"))
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// A container of items by key, which reuses the keys of removed items.
#[derive(Debug)]
pub struct Arena<K, T> {
    items: Vec<Option<T>>,
    free: Vec<usize>,
    key: PhantomData<K>,
}

impl<K, T> Default for Arena<K, T> {
    fn default() -> Self {
        Self {
            items: Vec::new(),
            free: Vec::new(),
            key: PhantomData,
        }
    }
}

impl<K: Key, T> Arena<K, T> {
    /// Stores an item and returns its key.
    pub fn insert(&mut self, item: T) -> K {
        match self.free.pop() {
            Some(i) => {
                self.items[i] = Some(item);
                K::from_index(i)
            }
            None => {
                self.items.push(Some(item));
                K::from_index(self.items.len() - 1)
            }
        }
    }

    /// Removes an item and returns it; `None` when the key has no item.
    pub fn remove(&mut self, key: K) -> Option<T> {
        let item = self.items.get_mut(key.index())?.take()?;
        self.free.push(key.index());
        Some(item)
    }

    /// Returns the item of a key; `None` when the key has no item.
    pub fn get(&self, key: K) -> Option<&T> {
        self.items.get(key.index())?.as_ref()
    }

    /// Returns the item of a key for modification; `None` when the key has no item.
    pub fn get_mut(&mut self, key: K) -> Option<&mut T> {
        self.items.get_mut(key.index())?.as_mut()
    }

    /// Iterates over all items with their keys, in key order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        let occupied = |(i, t): (usize, &'_ Option<T>)| t.as_ref().map(|_| i);
        let keys = self.items.iter().enumerate().filter_map(occupied);
        keys.map(|i| {
            (
                K::from_index(i),
                self.items[i].as_ref().expect("occupied slot"),
            )
        })
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.items.len() - self.free.len()
    }

    /// Returns whether the arena holds no items.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
