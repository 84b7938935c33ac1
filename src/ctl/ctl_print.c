#include "ctl.h"
#include <stdio.h>
#include <string.h>

#define COLUMNS_MAX 16

static const char *cell(json_object *row, const char *column)
{
	json_object *v;

	if (!json_object_object_get_ex(row, column, &v) || !v) return "-";
	if (json_object_is_type(v, json_type_string) && !json_object_get_string_len(v))
		return "-";
	return json_object_get_string(v);
}

void ctl_print_table(json_object *list, const char *const *column, int n)
{
	size_t i, rows = json_object_array_length(list), len, width[COLUMNS_MAX];
	int k;

	for (k = 0; k < n; k++) {
		width[k] = strlen(column[k]);
		for (i = 0; i < rows; i++) {
			len = strlen(cell(json_object_array_get_idx(list, i), column[k]));
			if (len > width[k]) width[k] = len;
		}
		printf("%-*s%s", (int)width[k], column[k], k + 1 < n ? "  " : "\n");
	}
	for (i = 0; i < rows; i++)
		for (k = 0; k < n; k++)
			printf("%-*s%s", (int)width[k],
			       cell(json_object_array_get_idx(list, i), column[k]),
			       k + 1 < n ? "  " : "\n");
}
