/*
 * Line-by-line diff of two texts for operators.
 */
#ifndef FESCUE_TEXT_DIFF_H
#define FESCUE_TEXT_DIFF_H

#include <stddef.h>
#include <stdio.h>

/*
 * Print each line that only a has as "- NUMBER: LINE" and each line that only b
 * has as "+ NUMBER: LINE", with 1-based line numbers. Returns the number of
 * lines printed, 0 if the lines of both are equal.
 */
size_t text_diff_print(const char *a, size_t a_size, const char *b,
		       size_t b_size, FILE *out);

#endif
