//! A reader of JSON, as far as the store needs it.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
    /// A number, true, false or null, as written.
    Word(String),
}

impl Json {
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(key),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) | Json::Word(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

/// Parses a value; `None` if it is malformed.
pub fn parse(text: &str) -> Option<Json> {
    let mut reader = Reader { chars: text.chars().collect(), at: 0 };
    reader.value()
}

struct Reader {
    chars: Vec<char>,
    at: usize,
}

impl Reader {
    fn peek(&mut self) -> Option<char> {
        while self.chars.get(self.at).is_some_and(|char| char.is_whitespace()) {
            self.at += 1;
        }
        self.chars.get(self.at).copied()
    }

    fn eat(&mut self, wanted: char) -> Option<()> {
        (self.peek()? == wanted).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            '"' => self.string().map(Json::Text),
            '[' => self.items(']', Reader::value).map(Json::List),
            '{' => {
                let field = |reader: &mut Reader| {
                    let key = reader.string()?;
                    reader.eat(':')?;
                    Some((key, reader.value()?))
                };
                self.items('}', field).map(|fields| Json::Object(fields.into_iter().collect()))
            }
            _ => {
                let start = self.at;
                while self.chars.get(self.at).is_some_and(|char| !",]}".contains(*char)) {
                    self.at += 1;
                }
                Some(Json::Word(self.chars[start..self.at].iter().collect()))
            }
        }
    }

    fn items<T>(
        &mut self,
        end: char,
        mut item: impl FnMut(&mut Reader) -> Option<T>,
    ) -> Option<Vec<T>> {
        self.at += 1;
        let mut items = Vec::new();
        while self.peek()? != end {
            items.push(item(self)?);
            if self.peek()? == ',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Some(items)
    }

    fn string(&mut self) -> Option<String> {
        self.eat('"')?;
        let mut text = String::new();
        loop {
            let char = *self.chars.get(self.at)?;
            self.at += 1;
            match char {
                '"' => return Some(text),
                '\\' => {
                    let escaped = *self.chars.get(self.at)?;
                    self.at += 1;
                    text.push(if escaped == 'n' { '\n' } else { escaped });
                }
                char => text.push(char),
            }
        }
    }
}
