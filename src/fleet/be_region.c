/* The region of each data centre, from the settings. */
#include "be.h"

static GHashTable *regions; /* data centre -> region */

void be_set_region(const char *dc, const char *region)
{
	if (!regions) regions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_replace(regions, g_strdup(dc), g_strdup(region));
}

const char *be_region_of(const char *dc)
{
	return regions ? g_hash_table_lookup(regions, dc) : NULL;
}
