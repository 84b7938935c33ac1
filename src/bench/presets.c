/* Request mixes: the two workloads of the users, and one for measuring the relay. */
#include "load.h"
#include <string.h>

static const struct load_group roasting[] = {
	{.name = "members",
	 .model = "brew",
	 .service = "slots",
	 .share = 0.8,
	 .call_share = 0.25,
	 .stream_share = 1,
	 .prompt_min = 30,
	 .prompt_max = 200,
	 .out_median = 80,
	 .out_sigma = 0.8},
	{.name = "packing",
	 .model = "brew",
	 .service = NULL,
	 .share = 0.2,
	 .call_share = 0,
	 .stream_share = 0.2,
	 .prompt_min = 500,
	 .prompt_max = 2000,
	 .out_median = 200,
	 .out_sigma = 1.1},
};

static const struct load_group calendar[] = {
	{.name = "residents",
	 .model = "lorry",
	 .service = "schedules",
	 .share = 0.8,
	 .call_share = 0.4,
	 .stream_share = 1,
	 .prompt_min = 20,
	 .prompt_max = 120,
	 .out_median = 50,
	 .out_sigma = 0.7},
	{.name = "depots",
	 .model = "lorry",
	 .service = "schedules",
	 .share = 0.2,
	 .call_share = 0.1,
	 .stream_share = 0,
	 .prompt_min = 600,
	 .prompt_max = 2500,
	 .out_median = 120,
	 .out_sigma = 1.0},
};

/* Only streams of one kind, for measuring the relay. */
static const struct load_group streams[] = {
	{.name = "members",
	 .model = "brew",
	 .share = 1,
	 .stream_share = 1,
	 .prompt_min = 20,
	 .prompt_max = 40,
	 .out_median = 300,
	 .out_sigma = 0},
};

static void add_groups(struct load *l, const struct load_group *g, int n, double share)
{
	int i;

	for (i = 0; i < n; i++) {
		l->group[l->ngroups] = g[i];
		l->group[l->ngroups++].share *= share;
	}
}

int load_preset(struct load *l, const char *name)
{
	if (!strcmp(name, "roasting"))
		add_groups(l, roasting, 2, 1);
	else if (!strcmp(name, "calendar"))
		add_groups(l, calendar, 2, 1);
	else if (!strcmp(name, "streams"))
		add_groups(l, streams, 1, 1);
	else if (!strcmp(name, "both")) {
		add_groups(l, roasting, 2, 0.5);
		add_groups(l, calendar, 2, 0.5);
	} else {
		return -1;
	}
	return 0;
}
