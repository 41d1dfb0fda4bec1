//! Text formatting shared by several outputs.

use uuid::Uuid;

/// A count with its noun in the singular or plural.
///
/// ```
/// use flamingowheel_observe::text::count_with_noun;
///
/// assert_eq!(count_with_noun(1_u32, "process"), "1 process");
/// assert_eq!(count_with_noun(2_u32, "engine crash"), "2 engine crashes");
/// ```
pub fn count_with_noun<C>(count: C, noun: &str) -> String
where
    C: Into<u64>,
{
    let count = count.into();
    let plural = match count {
        1 => "",
        _ if noun.ends_with('s') || noun.ends_with("sh") => "es",
        _ => "s",
    };
    format!("{count} {noun}{plural}")
}

/// The last 8 hex digits of an id. Unlike the first ones they differ between ids generated at the
/// same time.
///
/// ```
/// use flamingowheel_observe::text::short_id;
///
/// assert_eq!(short_id(&uuid::Uuid::from_u128(0xabcd)), "0000abcd");
/// ```
pub fn short_id(id: &Uuid) -> String {
    let text = id.simple().to_string();
    text[text.len() - 8..].to_owned()
}
