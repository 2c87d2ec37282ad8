#ifndef SHALLOTFORD_SRC_CTL_TABLE_H
#define SHALLOTFORD_SRC_CTL_TABLE_H

/// Formats the aligned, optionally coloured tables that shallotfordctl prints.

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace shallotford {

enum class CellStyle
{
  Plain,
  Good,
  Warning,
  Bad,
  Heading,
};

/// Wraps aText in the escape sequences of aStyle if aColour is set.
std::string
Styled(std::string_view aText, CellStyle aStyle, bool aColour);

/// Returns aText with control characters replaced by '?', so that the answer of
/// a daemon can't send escape sequences to the terminal.
std::string
Printable(std::string_view aText);

struct Cell
{
  std::string m_text;
  CellStyle m_style{ CellStyle::Plain };
};

enum class Alignment
{
  Left,
  Right,
};
struct Column
{
  std::string m_title;
  Alignment m_alignment{ Alignment::Left };
};

/// A table with a title row. Each column is as wide as its longest cell.
class Table
{
public:
  explicit Table(std::vector<Column> aColumns);

  /// @param aCells  at most one for each column; missing ones are empty
  void AddRow(std::vector<Cell> aCells);
  std::size_t RowCount() const { return m_rows.size(); }
  /// Writes titles and rows, without trailing spaces.
  void Write(std::ostream& aOut, bool aColour) const;

private:
  using Row = std::vector<Cell>;

  std::vector<std::size_t> Widths() const;
  void WriteRow(std::ostream& aOut,
                const Row& aRow,
                const std::vector<std::size_t>& aWidths,
                bool aColour) const;

  std::vector<Column> m_columns;
  std::vector<Row> m_rows;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_CTL_TABLE_H
