//! Process settings: YAML, strict, validated.
