#include "text_diff.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>

/*
 * Limits the table of the longest common subsequence (LCS). Beyond it, all
 * changed lines of the old text are printed before those of the new one.
 */
#define LCS_CELLS_MAX (4u << 20)

struct line {
	const char *text;
	size_t size;
};

struct lines {
	struct line *items;
	size_t count;
};

static struct lines split_lines(const char *text, size_t size)
{
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct line));
	struct lines result;

	for (size_t start = 0; start < size;) {
		const char *newline = memchr(text + start, '\n', size - start);
		size_t end = newline ? (size_t)(newline - text) : size;
		struct line line = { text + start, end - start };

		g_array_append_val(lines, line);
		start = end + 1;
	}
	result.count = lines->len;
	result.items = (struct line *)(void *)g_array_free(lines, FALSE);
	return result;
}

static int lines_equal(const struct line *a, const struct line *b)
{
	return a->size == b->size && !memcmp(a->text, b->text, a->size);
}

static void print_line(FILE *out, char sign, size_t number,
		       const struct line *line)
{
	fprintf(out, "%c %zu: %.*s\n", sign, number + 1, (int)line->size,
		line->text);
}

static size_t print_block(FILE *out, char sign, const struct lines *lines,
			  size_t from, size_t to)
{
	for (size_t i = from; i < to; i++)
		print_line(out, sign, i, &lines->items[i]);
	return to - from;
}

/*
 * Table of LCS lengths: row i, column j has that of a[from + i..a_end) and
 * b[from + j..b_end).
 */
static uint32_t *lcs_lengths(const struct lines *a, const struct lines *b,
			     size_t from, size_t a_end, size_t b_end)
{
	size_t rows = a_end - from + 1, columns = b_end - from + 1;
	uint32_t *length = g_new0(uint32_t, rows * columns);

	for (size_t i = rows - 1; i-- > 0;)
		for (size_t j = columns - 1; j-- > 0;) {
			uint32_t down = length[(i + 1) * columns + j];
			uint32_t right = length[i * columns + j + 1];

			if (lines_equal(&a->items[from + i],
					&b->items[from + j]))
				length[i * columns + j] =
					length[(i + 1) * columns + j + 1] + 1;
			else
				length[i * columns + j] = MAX(down, right);
		}
	return length;
}

static size_t print_lcs_diff(const struct lines *a, const struct lines *b,
			     size_t from, size_t a_end, size_t b_end, FILE *out)
{
	size_t columns = b_end - from + 1, i = from, j = from, printed = 0;
	uint32_t *length = lcs_lengths(a, b, from, a_end, b_end);

	while (i < a_end && j < b_end) {
		uint32_t down = length[(i + 1 - from) * columns + j - from];
		uint32_t right = length[(i - from) * columns + j + 1 - from];

		if (lines_equal(&a->items[i], &b->items[j])) {
			i++;
			j++;
		} else if (down >= right) {
			printed += print_block(out, '-', a, i, i + 1);
			i++;
		} else {
			printed += print_block(out, '+', b, j, j + 1);
			j++;
		}
	}
	printed += print_block(out, '-', a, i, a_end);
	printed += print_block(out, '+', b, j, b_end);
	g_free(length);
	return printed;
}

size_t text_diff_print(const char *a, size_t a_size, const char *b,
		       size_t b_size, FILE *out)
{
	struct lines x = split_lines(a, a_size), y = split_lines(b, b_size);
	size_t common = MIN(x.count, y.count), from = 0, suffix = 0, printed;

	while (from < common && lines_equal(&x.items[from], &y.items[from]))
		from++;
	while (suffix < common - from &&
	       lines_equal(&x.items[x.count - 1 - suffix],
			   &y.items[y.count - 1 - suffix]))
		suffix++;
	if ((x.count - suffix - from + 1) * (y.count - suffix - from + 1) >
	    LCS_CELLS_MAX) {
		printed = print_block(out, '-', &x, from, x.count - suffix);
		printed += print_block(out, '+', &y, from, y.count - suffix);
	} else {
		printed = print_lcs_diff(&x, &y, from, x.count - suffix,
					 y.count - suffix, out);
	}
	g_free(x.items);
	g_free(y.items);
	return printed;
}
