/// Formats the aligned, optionally coloured tables that shallotfordctl prints.

#include "ctl_table.h"

#include <algorithm>
#include <ostream>

namespace shallotford {

namespace {

constexpr std::size_t kColumnGap = 2; // spaces

std::string_view
EscapeOf(CellStyle aStyle)
{
  switch (aStyle) {
    case CellStyle::Good:
      return "\x1b[32m";
    case CellStyle::Warning:
      return "\x1b[33m";
    case CellStyle::Bad:
      return "\x1b[31m";
    case CellStyle::Heading:
      return "\x1b[1m";
    case CellStyle::Plain:
      break;
  }
  return "";
}

/// Returns the number of characters of UTF-8 text.
std::size_t
WidthOf(std::string_view aText)
{
  constexpr unsigned char kContinuationMask = 0xc0;
  constexpr unsigned char kContinuation = 0x80;
  return static_cast<std::size_t>(
    std::count_if(aText.begin(), aText.end(), [](char aByte) {
      return (static_cast<unsigned char>(aByte) & kContinuationMask) !=
             kContinuation;
    }));
}

} // namespace

std::string
Styled(std::string_view aText, CellStyle aStyle, bool aColour)
{
  std::string text(aText);
  if (!aColour || aStyle == CellStyle::Plain) {
    return text;
  }
  return std::string(EscapeOf(aStyle)) + text + "\x1b[0m";
}

std::string
Printable(std::string_view aText)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  std::string text(aText);
  std::replace_if(
    text.begin(),
    text.end(),
    [](char aByte) {
      auto byte = static_cast<unsigned char>(aByte);
      return byte < kFirstPrintable || byte == kDelete;
    },
    '?');
  return text;
}

Table::Table(std::vector<Column> aColumns)
  : m_columns(std::move(aColumns))
{
}

void
Table::AddRow(std::vector<Cell> aCells)
{
  aCells.resize(m_columns.size());
  for (Cell& cell : aCells) {
    cell.m_text = Printable(cell.m_text);
  }
  m_rows.push_back(std::move(aCells));
}

std::vector<std::size_t>
Table::Widths() const
{
  std::vector<std::size_t> widths;
  widths.reserve(m_columns.size());
  for (std::size_t i = 0; i < m_columns.size(); ++i) {
    std::size_t width = WidthOf(m_columns[i].m_title);
    for (const Row& row : m_rows) {
      width = std::max(width, WidthOf(row[i].m_text));
    }
    widths.push_back(width);
  }
  return widths;
}

void
Table::WriteRow(std::ostream& aOut,
                const Row& aRow,
                const std::vector<std::size_t>& aWidths,
                bool aColour) const
{
  // Spaces are written only before a non-empty cell, so that no line has
  // trailing spaces.
  std::size_t spaces = 0;
  for (std::size_t i = 0; i < aRow.size(); ++i) {
    const Cell& cell = aRow[i];
    std::size_t padding = aWidths[i] - WidthOf(cell.m_text);
    bool right = m_columns[i].m_alignment == Alignment::Right;
    spaces += right ? padding : 0;
    if (!cell.m_text.empty()) {
      aOut << std::string(spaces, ' ')
           << Styled(cell.m_text, cell.m_style, aColour);
      spaces = 0;
    }
    spaces += (right ? 0 : padding) + kColumnGap;
  }
  aOut << '\n';
}

void
Table::Write(std::ostream& aOut, bool aColour) const
{
  std::vector<std::size_t> widths = Widths();
  Row titles;
  titles.reserve(m_columns.size());
  for (const Column& column : m_columns) {
    titles.push_back({ column.m_title, CellStyle::Heading });
  }
  WriteRow(aOut, titles, widths, aColour);
  for (const Row& row : m_rows) {
    WriteRow(aOut, row, widths, aColour);
  }
}

} // namespace shallotford
