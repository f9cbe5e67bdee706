#include "text_diff.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>

/* Larger differences are shown as one block of old and one of new lines. */
#define LCS_CELLS_MAX (4u << 20)

struct line {
	const char *text;
	size_t size;
};

struct lines {
	struct line *at;
	size_t count;
};

static struct lines split(const char *text, size_t size)
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
	result.at = (struct line *)(void *)g_array_free(lines, FALSE);
	return result;
}

static int same(const struct line *a, const struct line *b)
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
		print_line(out, sign, i, &lines->at[i]);
	return to - from;
}

/* Lengths of common subsequences of the tails a[from..], b[from..]. */
static uint32_t *tail_lengths(const struct lines *a, const struct lines *b,
			      size_t from, size_t a_end, size_t b_end)
{
	size_t rows = a_end - from + 1, columns = b_end - from + 1;
	uint32_t *length = g_new0(uint32_t, rows * columns);

	for (size_t i = rows - 1; i-- > 0;)
		for (size_t j = columns - 1; j-- > 0;) {
			uint32_t down = length[(i + 1) * columns + j];
			uint32_t right = length[i * columns + j + 1];

			if (same(&a->at[from + i], &b->at[from + j]))
				length[i * columns + j] =
					length[(i + 1) * columns + j + 1] + 1;
			else
				length[i * columns + j] = MAX(down, right);
		}
	return length;
}

static size_t print_middle(const struct lines *a, const struct lines *b,
			   size_t from, size_t a_end, size_t b_end, FILE *out)
{
	size_t columns = b_end - from + 1, i = from, j = from, printed = 0;
	uint32_t *length = tail_lengths(a, b, from, a_end, b_end);

	while (i < a_end && j < b_end) {
		uint32_t down = length[(i + 1 - from) * columns + j - from];
		uint32_t right = length[(i - from) * columns + j + 1 - from];

		if (same(&a->at[i], &b->at[j])) {
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
	struct lines x = split(a, a_size), y = split(b, b_size);
	size_t shared = MIN(x.count, y.count), from = 0, tail = 0, printed;

	while (from < shared && same(&x.at[from], &y.at[from]))
		from++;
	while (tail < shared - from &&
	       same(&x.at[x.count - 1 - tail], &y.at[y.count - 1 - tail]))
		tail++;
	if ((x.count - tail - from + 1) * (y.count - tail - from + 1) >
	    LCS_CELLS_MAX) {
		printed = print_block(out, '-', &x, from, x.count - tail);
		printed += print_block(out, '+', &y, from, y.count - tail);
	} else {
		printed = print_middle(&x, &y, from, x.count - tail,
				       y.count - tail, out);
	}
	g_free(x.at);
	g_free(y.at);
	return printed;
}
