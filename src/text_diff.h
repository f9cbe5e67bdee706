/*
 * Line difference of two texts, for people.
 */
#ifndef FESCUE_TEXT_DIFF_H
#define FESCUE_TEXT_DIFF_H

#include <stddef.h>
#include <stdio.h>

/*
 * Print lines only in a with "- NUMBER:" and only in b with "+ NUMBER:".
 * Returns the number of lines printed.
 */
size_t text_diff_print(const char *a, size_t a_size, const char *b,
		       size_t b_size, FILE *out);

#endif
