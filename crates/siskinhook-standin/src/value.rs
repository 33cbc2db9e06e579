//! Conversion of values between the encodings of the PostgreSQL protocol and SQLite.

use std::fmt::Write as _;

use bytes::{BufMut, BytesMut};
use rusqlite::types::{Value, ValueRef};

use crate::database::SqlError;

/// Type OIDs from PostgreSQL's system catalogue `pg_type`.
pub(crate) mod oid {
    pub const BOOL: u32 = 16;
    pub const BYTEA: u32 = 17;
    pub const INT8: u32 = 20;
    pub const INT2: u32 = 21;
    pub const INT4: u32 = 23;
    pub const TEXT: u32 = 25;
    pub const FLOAT4: u32 = 700;
    pub const FLOAT8: u32 = 701;
    pub const UNKNOWN: u32 = 705;
    pub const VARCHAR: u32 = 1043;
}

/// Returns the type OID of a type name in a column declaration or cast.
pub(crate) fn type_oid(name: &str) -> u32 {
    let name = name.split('(').next().unwrap_or_default().trim();
    match name.to_ascii_lowercase().as_str() {
        "bool" | "boolean" => oid::BOOL,
        "bytea" | "blob" => oid::BYTEA,
        "smallint" | "int2" => oid::INT2,
        "int" | "int4" => oid::INT4,
        "bigint" | "int8" | "integer" => oid::INT8,
        "real" | "float4" => oid::FLOAT4,
        "float" | "float8" | "double precision" | "double" => oid::FLOAT8,
        "varchar" => oid::VARCHAR,
        _ => oid::TEXT,
    }
}

/// Decodes a parameter of a type OID and format code.
///
/// # Errors
/// Fails with 22P02 for a malformed text, 22P03 for a malformed binary value, 22021 for invalid
/// UTF-8, and 0A000 for a binary value of an unsupported type.
pub(crate) fn decode(oid: u32, format: i16, data: &[u8]) -> Result<Value, SqlError> {
    if format == 0 {
        let text = std::str::from_utf8(data)
            .map_err(|_| SqlError::new("22021", "a text parameter is not valid UTF-8"))?;
        return decode_text(oid, text);
    }
    let malformed = || {
        SqlError::new(
            "22P03",
            format!("a binary parameter of type {oid} has {} bytes", data.len()),
        )
    };
    Ok(match oid {
        oid::BOOL => Value::Integer(i64::from(*data.first().ok_or_else(malformed)? != 0)),
        oid::BYTEA => Value::Blob(data.to_vec()),
        oid::INT2 | oid::INT4 | oid::INT8 => Value::Integer(match data.len() {
            2 => i64::from(i16::from_be_bytes(
                data.try_into().map_err(|_| malformed())?,
            )),
            4 => i64::from(i32::from_be_bytes(
                data.try_into().map_err(|_| malformed())?,
            )),
            8 => i64::from_be_bytes(data.try_into().map_err(|_| malformed())?),
            _ => return Err(malformed()),
        }),
        oid::FLOAT4 => Value::Real(f64::from(f32::from_be_bytes(
            data.try_into().map_err(|_| malformed())?,
        ))),
        oid::FLOAT8 => Value::Real(f64::from_be_bytes(
            data.try_into().map_err(|_| malformed())?,
        )),
        0 | oid::TEXT | oid::UNKNOWN | oid::VARCHAR | 19 | 114 | 1042 => Value::Text(
            String::from_utf8(data.to_vec())
                .map_err(|_| SqlError::new("22021", "a text parameter is not valid UTF-8"))?,
        ),
        _ => {
            return Err(SqlError::new(
                "0A000",
                format!("binary parameters of type {oid} are not supported; send text"),
            ));
        }
    })
}

fn decode_text(oid: u32, text: &str) -> Result<Value, SqlError> {
    let malformed = || SqlError::new("22P02", format!("invalid input for type {oid}: {text:?}"));
    Ok(match oid {
        oid::BOOL => Value::Integer(match text.to_ascii_lowercase().as_str() {
            "t" | "true" | "1" | "on" | "yes" => 1,
            "f" | "false" | "0" | "off" | "no" => 0,
            _ => return Err(malformed()),
        }),
        oid::INT2 | oid::INT4 | oid::INT8 => {
            Value::Integer(text.trim().parse().map_err(|_| malformed())?)
        }
        oid::FLOAT4 | oid::FLOAT8 => Value::Real(text.trim().parse().map_err(|_| malformed())?),
        oid::BYTEA => match text.strip_prefix("\\x") {
            Some(hex) => Value::Blob(decode_hex(hex).ok_or_else(malformed)?),
            None => Value::Blob(text.as_bytes().to_vec()),
        },
        _ => Value::Text(text.to_owned()),
    })
}

fn decode_hex(hex: &str) -> Option<Vec<u8>> {
    if !hex.is_ascii() || !hex.len().is_multiple_of(2) {
        return None;
    }
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).ok())
        .collect()
}

/// Returns the type OID of a value; `None` for NULL.
pub(crate) fn value_oid(value: ValueRef<'_>) -> Option<u32> {
    match value {
        ValueRef::Null => None,
        ValueRef::Integer(_) => Some(oid::INT8),
        ValueRef::Real(_) => Some(oid::FLOAT8),
        ValueRef::Text(_) => Some(oid::TEXT),
        ValueRef::Blob(_) => Some(oid::BYTEA),
    }
}

/// Appends a field of a `DataRow`: its length, and its value in the type and format of the column.
///
/// # Errors
/// Fails with 42804 if the type of the column cannot represent the value that SQLite holds.
pub(crate) fn encode(
    value: ValueRef<'_>,
    oid: u32,
    format: i16,
    out: &mut BytesMut,
) -> Result<(), SqlError> {
    if value == ValueRef::Null {
        out.put_i32(-1);
        return Ok(());
    }
    let field = if format == 0 {
        encode_text(value, oid)
    } else {
        encode_binary(value, oid)?
    };
    let length = i32::try_from(field.len())
        .map_err(|_| SqlError::new("54000", "a field is longer than 2 GiB"))?;
    out.put_i32(length);
    out.put_slice(&field);
    Ok(())
}

fn encode_text(value: ValueRef<'_>, oid: u32) -> Vec<u8> {
    match value {
        ValueRef::Null => Vec::new(),
        ValueRef::Integer(number) if oid == oid::BOOL => {
            if number == 0 {
                b"f".to_vec()
            } else {
                b"t".to_vec()
            }
        }
        ValueRef::Integer(number) => number.to_string().into_bytes(),
        ValueRef::Real(number) => number.to_string().into_bytes(),
        ValueRef::Text(text) => text.to_vec(),
        ValueRef::Blob(data) => {
            let mut text = String::from("\\x");
            for byte in data {
                // Writing to a string cannot fail.
                let _ = write!(text, "{byte:02x}");
            }
            text.into_bytes()
        }
    }
}

fn encode_binary(value: ValueRef<'_>, oid: u32) -> Result<Vec<u8>, SqlError> {
    let mismatch = || {
        SqlError::new(
            "42804",
            format!(
                "a value of type {} does not fit type {oid}",
                value.data_type()
            ),
        )
    };
    Ok(match (oid, value) {
        (oid::BOOL, ValueRef::Integer(number)) => vec![u8::from(number != 0)],
        (oid::INT2, ValueRef::Integer(number)) => i16::try_from(number)
            .map_err(|_| mismatch())?
            .to_be_bytes()
            .to_vec(),
        (oid::INT4, ValueRef::Integer(number)) => i32::try_from(number)
            .map_err(|_| mismatch())?
            .to_be_bytes()
            .to_vec(),
        (oid::INT8, ValueRef::Integer(number)) => number.to_be_bytes().to_vec(),
        #[expect(clippy::cast_possible_truncation, reason = "float4 has this precision")]
        (oid::FLOAT4, ValueRef::Real(number)) => (number as f32).to_be_bytes().to_vec(),
        (oid::FLOAT8, ValueRef::Real(number)) => number.to_be_bytes().to_vec(),
        #[expect(clippy::cast_precision_loss, reason = "float8 has this precision")]
        (oid::FLOAT8, ValueRef::Integer(number)) => (number as f64).to_be_bytes().to_vec(),
        (oid::BYTEA | oid::TEXT | oid::VARCHAR, ValueRef::Blob(data) | ValueRef::Text(data)) => {
            data.to_vec()
        }
        (oid::TEXT | oid::VARCHAR, value) => encode_text(value, oid),
        _ => return Err(mismatch()),
    })
}
