/* Draws the load: Poisson arrivals, sent to entries that /v1/where names. Its answers are
 * cached for their time to live. */
#include "clock.h"
#include "httpc.h"
#include "load.h"
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define DRAIN_US 60000000 /* longest wait for requests in flight after the load ends */
#define PROGRESS_US 1000000

static int read_strings(json_object *o, const char *key, const char **out)
{
	json_object *list;
	int i, n;

	if (!json_object_object_get_ex(o, key, &list)) return 0;
	n = (int)json_object_array_length(list);
	if (n > LOAD_ADDRESSES_MAX) n = LOAD_ADDRESSES_MAX;
	for (i = 0; i < n; i++)
		out[i] = json_object_get_string(json_object_array_get_idx(list, (size_t)i));
	return n;
}

static void read_group_key(struct load_group *g, json_object *groups)
{
	json_object *o, *name, *key;
	size_t i;

	for (i = 0; i < json_object_array_length(groups); i++) {
		o = json_object_array_get_idx(groups, i);
		if (json_object_object_get_ex(o, "name", &name) &&
		    json_object_object_get_ex(o, "key", &key) &&
		    !strcmp(json_object_get_string(name), g->name))
			g_strlcpy(g->key, json_object_get_string(key), sizeof g->key);
	}
}

int load_read_fleet(struct load *l, json_object *fleet)
{
	json_object *groups;
	int i;

	l->nentries = read_strings(fleet, "entries", l->entries);
	l->nengines = read_strings(fleet, "engines", l->engines);
	if (!l->nentries || !json_object_object_get_ex(fleet, "groups", &groups)) return -1;
	for (i = 0; i < l->ngroups; i++) read_group_key(&l->group[i], groups);
	return 0;
}

static int fetch_where(struct load *l, const char *address)
{
	struct httpc_call c = {.method = "GET", .address = address, .timeout_ms = 1000};
	char *path = g_strdup_printf("/v1/where?group=%s", l->group[0].name);
	json_object *o, *list, *ttl;
	struct httpc_answer a;
	int i;

	c.path = path;
	httpc_perform(&c, &a);
	o = a.status == 200 ? json_tokener_parse(a.text->str) : NULL;
	if (o && json_object_object_get_ex(o, "addresses", &list) &&
	    json_object_object_get_ex(o, "ttl_ms", &ttl)) {
		l->nwhere = (int)json_object_array_length(list);
		if (l->nwhere > LOAD_ADDRESSES_MAX) l->nwhere = LOAD_ADDRESSES_MAX;
		for (i = 0; i < l->nwhere; i++)
			g_strlcpy(l->where[i],
				  json_object_get_string(
					  json_object_array_get_idx(list, (size_t)i)),
				  sizeof l->where[i]);
		l->where_expires_us = clock_us() + json_object_get_int64(ttl) * 1000;
	}
	json_object_put(o);
	httpc_free(&a);
	g_free(path);
	return l->nwhere;
}

static const char *choose_entry(struct load *l)
{
	int i, from;

	if (!l->nwhere || clock_us() > l->where_expires_us) {
		l->nwhere = 0;
		from = g_rand_int_range(l->rand, 0, l->nentries);
		for (i = 0;
		     i < l->nentries && !fetch_where(l, l->entries[(from + i) % l->nentries]);
		     i++)
			;
	}
	if (!l->nwhere) return NULL;
	return l->where[g_rand_int_range(l->rand, 0, l->nwhere)];
}

static int draw_group(struct load *l)
{
	double u = g_rand_double(l->rand);
	int i;

	for (i = 0; i + 1 < l->ngroups; i++) {
		u -= l->group[i].share;
		if (u < 0) break;
	}
	return i;
}

static void send_one(struct load *l)
{
	int g = draw_group(l);
	int call = l->group[g].service && g_rand_double(l->rand) < l->group[g].call_share;
	int direct = !call && g_rand_double(l->rand) < l->direct_share;
	const char *at = direct ? l->engines[g_rand_int_range(l->rand, 0, l->nengines)]
				: choose_entry(l);

	if (at) load_send(l, direct ? LOAD_DIRECT : LOAD_SADDLEHEAD, g, call, at);
}

static void print_progress(const struct load *l, int64_t start, int64_t now)
{
	uint64_t sent = 0, completed = 0, refused = 0;
	int s, g;

	for (s = 0; s < LOAD_SIDE_MAX; s++)
		for (g = 0; g < l->ngroups; g++) {
			sent += l->stats[s][g].sent;
			completed += l->stats[s][g].completed;
			refused += l->stats[s][g].refused;
		}
	fprintf(stderr, "%4lld s: %llu sent, %llu whole, %llu refused, %llu open\n",
		(long long)(now - start) / 1000000, (unsigned long long)sent,
		(unsigned long long)completed, (unsigned long long)refused,
		(unsigned long long)l->in_flight);
}

static uint64_t requests_in_flight(struct load *l)
{
	uint64_t n;

	pthread_mutex_lock(&l->lock);
	n = l->in_flight;
	pthread_mutex_unlock(&l->lock);
	return n;
}

void load_run(struct load *l)
{
	int64_t start = clock_us(), end = start + l->seconds * 1000000, next = start, now,
		next_progress = start;

	while ((now = clock_us()) < end) {
		if (now >= next_progress && !l->quiet) {
			print_progress(l, start, now);
			next_progress = now + PROGRESS_US;
		}
		if (now < next) {
			usleep((useconds_t)(next - now > 20000 ? 20000 : next - now));
			continue;
		}
		send_one(l);
		next += (int64_t)(-log(1 - g_rand_double(l->rand)) / l->rate * 1e6);
	}
	while (requests_in_flight(l) && clock_us() < end + DRAIN_US) usleep(10000);
}

uint64_t load_preemptions(const struct load *l)
{
	struct httpc_call c = {.method = "GET", .path = "/journal", .timeout_ms = 2000};
	struct httpc_answer a;
	json_object *o, *v;
	uint64_t n = 0;
	int i;

	for (i = 0; i < l->nengines; i++) {
		c.address = l->engines[i];
		httpc_perform(&c, &a);
		o = json_tokener_parse(a.text->str);
		if (o && json_object_object_get_ex(o, "preemptions", &v))
			n += (uint64_t)json_object_get_int64(v);
		json_object_put(o);
		httpc_free(&a);
	}
	return n;
}
