//! Numbers and tables as the page writes them.

/// Four significant digits, with commas between thousands.
pub fn number(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let digits_before = value.abs().log10().floor() as i32 + 1;
    let decimals = (4 - digits_before).max(0);
    if decimals > 7 {
        return format!("{value:.3e}");
    }
    let step = 10_f64.powi((digits_before - 4).max(0));
    let rounded = format!("{:.*}", decimals as usize, rounded_to(value, step));
    let (whole, fraction) = rounded.split_once('.').unwrap_or((&rounded, ""));
    let fraction = fraction.trim_end_matches('0');
    let whole = with_commas(whole);
    if fraction.is_empty() { whole } else { format!("{whole}.{fraction}") }
}

/// To a multiple of the step, where that is more than one.
fn rounded_to(value: f64, step: f64) -> f64 {
    if step > 1.0 { (value / step).round() * step } else { value }
}

fn with_commas(whole: &str) -> String {
    let (sign, digits) = whole.strip_prefix('-').map_or(("", whole), |digits| ("-", digits));
    let mut text = String::from(sign);
    for (place, digit) in digits.chars().enumerate() {
        if place > 0 && (digits.len() - place).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

/// A table's row.
pub fn row(cells: &[&str]) -> String {
    format!("| {} |\n", cells.join(" | "))
}

/// A table's first two lines.
pub fn header(cells: &[&str]) -> String {
    let rule: Vec<&str> = cells.iter().map(|_| "---").collect();
    row(cells) + &row(&rule)
}
