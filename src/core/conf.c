/* Stores the configuration and looks up entries by host and path, key or name. */
#include "conf.h"
#include <string.h>

static void free_route(gpointer p)
{
	struct conf_route *r = p;
	int i;

	for (i = 0; i < r->nsplit; i++) g_free(r->split[i].service);
	g_free(r->name);
	g_free(r->host);
	g_free(r->prefix);
	g_strfreev(r->regions);
	g_free(r);
}

static void free_service(gpointer p)
{
	g_free(((struct conf_service *)p)->name);
	g_free(((struct conf_service *)p)->check);
	g_free(p);
}

static void free_group(gpointer p)
{
	g_free(((struct conf_group *)p)->name);
	g_strfreev(((struct conf_group *)p)->regions);
	g_free(p);
}

struct conf *conf_new(void)
{
	struct conf *c = g_new0(struct conf, 1);

	c->refs = 1;
	c->admission = (struct conf_admission){
		.floor = CONF_FLOOR, .promised = CONF_PROMISED, .appointments = 1};
	c->routes = g_ptr_array_new_with_free_func(free_route);
	c->services = g_ptr_array_new_with_free_func(free_service);
	c->groups = g_ptr_array_new_with_free_func(free_group);
	c->by_prefix = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->by_service = g_hash_table_new(g_str_hash, g_str_equal);
	return c;
}

struct conf *conf_ref(struct conf *c)
{
	c->refs++;
	return c;
}

void conf_unref(struct conf *c)
{
	if (!c || --c->refs) return;
	g_hash_table_destroy(c->by_prefix);
	g_hash_table_destroy(c->by_key);
	g_hash_table_destroy(c->by_service);
	g_ptr_array_free(c->routes, TRUE);
	g_ptr_array_free(c->services, TRUE);
	g_ptr_array_free(c->groups, TRUE);
	g_free(c);
}

static int may_run_again(const struct conf_route *r)
{
	return r->attempts > 1 || r->resumable;
}

/* Of the services of a route whose generations may run again. */
static void clear_runs_once(struct conf *c, const struct conf_route *r)
{
	int i;

	for (i = 0; i < r->nsplit; i++) {
		struct conf_service *s =
			g_hash_table_lookup(c->by_service, r->split[i].service);

		if (s) s->runs_once = 0;
	}
}

void conf_note_runs(struct conf *c)
{
	uint32_t i;

	for (i = 0; i < c->services->len; i++) {
		struct conf_service *s = g_ptr_array_index(c->services, i);

		s->runs_once = s->engine;
	}
	for (i = 0; i < c->routes->len; i++) {
		const struct conf_route *r = g_ptr_array_index(c->routes, i);

		if (r->kind == CONF_STREAM && may_run_again(r)) clear_runs_once(c, r);
	}
}

static char *route_key(const char *host, const char *prefix, size_t n)
{
	char *lower = g_ascii_strdown(host, -1);
	char *p = g_strdup_printf("%s %.*s", lower, (int)n, prefix);

	g_free(lower);
	return p;
}

void conf_add_route(struct conf *c, struct conf_route *r)
{
	g_ptr_array_add(c->routes, r);
	g_hash_table_replace(c->by_prefix, route_key(r->host, r->prefix, strlen(r->prefix)), r);
}

void conf_add_service(struct conf *c, struct conf_service *s)
{
	g_ptr_array_add(c->services, s);
	g_hash_table_replace(c->by_service, s->name, s);
}

struct conf_group *conf_add_group(struct conf *c, char *name, int priority)
{
	struct conf_group *g = g_new0(struct conf_group, 1);

	g->name = name;
	g->priority = priority;
	g->weight = 1;
	g_ptr_array_add(c->groups, g);
	return g;
}

void conf_add_key(struct conf *c, struct conf_group *g, char *key)
{
	g_hash_table_replace(c->by_key, key, g);
}

/* Strips the port that a Host header may contain. */
static char *host_name(const char *host)
{
	return g_strndup(host, strcspn(host, ":"));
}

const struct conf_route *conf_route(const struct conf *c, const char *host, const char *path)
{
	const struct conf_route *r = NULL;
	char *name = host_name(host);
	size_t n = strcspn(path, "?#");

	while (n && !r) {
		char *key;

		while (n && path[n - 1] != '/') n--;
		if (!n) break;
		key = route_key(name, path, n);
		r = g_hash_table_lookup(c->by_prefix, key);
		g_free(key);
		n--;
	}
	g_free(name);
	return r;
}

const struct conf_group *conf_group(const struct conf *c, const char *key)
{
	return key ? g_hash_table_lookup(c->by_key, key) : NULL;
}

const struct conf_service *conf_service(const struct conf *c, const char *name)
{
	return g_hash_table_lookup(c->by_service, name);
}

static int is_allowed_in(char *const *regions, const char *region)
{
	if (!regions) return 1;
	return region && g_strv_contains((const gchar *const *)regions, region);
}

int conf_allows(const struct conf_route *r, const struct conf_group *g, const char *region)
{
	return is_allowed_in(r->regions, region) && (!g || is_allowed_in(g->regions, region));
}

int conf_restricts_regions(const struct conf *c, const char *host)
{
	uint32_t i;

	for (i = 0; i < c->groups->len; i++)
		if (((const struct conf_group *)g_ptr_array_index(c->groups, i))->regions)
			return 1;
	for (i = 0; i < c->routes->len; i++) {
		const struct conf_route *r = g_ptr_array_index(c->routes, i);

		if (r->regions && !g_ascii_strcasecmp(r->host, host)) return 1;
	}
	return 0;
}

const char *conf_pick(const struct conf_route *r, double draw)
{
	double sum = 0;
	int i;

	for (i = 0; i < r->nsplit; i++) sum += r->split[i].weight;
	draw *= sum;
	for (i = 0; i < r->nsplit; i++) {
		draw -= r->split[i].weight;
		if (draw < 0) return r->split[i].service;
	}
	return r->nsplit ? r->split[r->nsplit - 1].service : NULL;
}
