/* Calls that must not run twice: the latency that a claim adds, and the number of writes to
 * the platform's store under load. */
#include "clock.h"
#include "fleet.h"
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define PAIRS 150
#define THREADS 500
#define OFFERED_PER_S 1000 /* calls per second */
#define SECONDS 5

static struct fleet *f;
static int answered, refused, serial;

static double call_ms(int claimed, int entry)
{
	char *idem = g_strdup_printf("Idempotency-Key: k%d",
				     __atomic_add_fetch(&serial, 1, __ATOMIC_RELAXED));
	const char *members[] = {"Authorization: Bearer " KEY_MEMBERS, idem, NULL};
	const char *residents[] = {"Authorization: Bearer " KEY_RESIDENTS, NULL};
	int64_t t = clock_us();
	long s;

	json_object_put(fleet_call_with("POST", f->entry[entry],
					claimed ? "/v1/call/slots/x" : "/v1/call/schedules/x",
					claimed ? members : residents, "{}", &s));
	__atomic_add_fetch(s == 200 ? &answered : &refused, 1, __ATOMIC_RELAXED);
	g_free(idem);
	return (double)(clock_us() - t) / 1e3;
}

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static double median(double *v, int n)
{
	qsort(v, (size_t)n, sizeof *v, by_value);
	return v[n / 2];
}

static void *offer_load(void *arg)
{
	int64_t next = clock_us(), end = next + SECONDS * 1000000;
	int entry = *(int *)arg % f->entries;

	while (next < end) {
		call_ms(1, entry);
		next += 1000000LL * THREADS / OFFERED_PER_S;
		if (next > clock_us()) usleep((useconds_t)(next - clock_us()));
	}
	return NULL;
}

static double store_writes(void)
{
	json_object *o;
	double n;
	long s;

	o = fleet_call("GET", f->kv, "/journal", NULL, NULL, &s);
	n = (double)json_int_at(o, "writes");
	json_object_put(o);
	return n;
}

int main(void)
{
	struct fleet_options o = {
		.daemons = 7,
		.engines = 1,
		.services = 4,
		.settings = "\"where\": {\"ttl_ms\": 300}, \"limits\": {\"requests\": 100}"};
	double claimed_ms[PAIRS], unclaimed_ms[PAIRS], before, seconds;
	int64_t start;
	pthread_t t[THREADS];
	int i, entry[THREADS];

	f = fleet_start(&o);
	for (i = 0; i < PAIRS; i++) {
		claimed_ms[i] = call_ms(1, i % f->entries);
		unclaimed_ms[i] = call_ms(0, i % f->entries);
		usleep(50000);
	}
	printf("claim_added_ms_p50 %.2f\n",
	       median(claimed_ms, PAIRS) - median(unclaimed_ms, PAIRS));
	answered = refused = 0;
	before = store_writes();
	start = clock_us();
	for (i = 0; i < THREADS; i++) {
		entry[i] = i;
		pthread_create(&t[i], NULL, offer_load, &entry[i]);
	}
	for (i = 0; i < THREADS; i++) pthread_join(t[i], NULL);
	seconds = (double)(clock_us() - start) / 1e6;
	printf("claims_answered_per_s %.0f\n", answered / seconds);
	printf("claims_refused_per_s %.0f\n", refused / seconds);
	printf("claims_writes_per_s %.1f\n", (store_writes() - before) / seconds);
	return fleet_stop(f);
}
