//! A growable store whose items are named by small `Copy` keys.

use std::marker::PhantomData;

/// A key into an arena.
pub trait Key: Copy {
    /// The key of the item at `index`.
    fn from_index(index: usize) -> Self;
    /// The position of the item.
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

/// Items by key; keys of removed items are used again.
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
    /// Stores an item and names it.
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

    /// Takes an item out.
    pub fn remove(&mut self, key: K) -> Option<T> {
        let item = self.items.get_mut(key.index())?.take()?;
        self.free.push(key.index());
        Some(item)
    }

    /// The item of a key.
    pub fn get(&self, key: K) -> Option<&T> {
        self.items.get(key.index())?.as_ref()
    }

    /// The item of a key, to change it.
    pub fn get_mut(&mut self, key: K) -> Option<&mut T> {
        self.items.get_mut(key.index())?.as_mut()
    }

    /// All items with their keys, in key order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        let named = |(i, t): (usize, &'_ Option<T>)| t.as_ref().map(|_| i);
        let keys = self.items.iter().enumerate().filter_map(named);
        keys.map(|i| (K::from_index(i), self.items[i].as_ref().expect("just seen")))
    }

    /// Number of items.
    pub fn len(&self) -> usize {
        self.items.len() - self.free.len()
    }

    /// Whether there is no item.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
