/* The region of each data centre, from the settings. */
#include "be.h"
#include <string.h>

static GHashTable *regions; /* data centre -> region */
static char *first_region;
static int several;

void be_set_region(const char *dc, const char *region)
{
	if (!regions) regions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_replace(regions, g_strdup(dc), g_strdup(region));
	if (!first_region) first_region = g_strdup(region);
	if (strcmp(first_region, region)) several = 1;
}

const char *be_region_of(const char *dc)
{
	return regions ? g_hash_table_lookup(regions, dc) : NULL;
}

int be_in_several_regions(void)
{
	return several;
}
