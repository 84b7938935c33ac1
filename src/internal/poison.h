/* Requests that end the backend servers that run them, as this instance and the others saw it:
 * who ended under what is told to all that serve callers, and verdicts to all. The decision
 * itself is in quar.h. */
#ifndef SH_POISON_H
#define SH_POISON_H
#include "be.h"
#include "quar.h"

struct poison_run { /* of a request on a server that ended */
	struct fp fp;
	int64_t ran_us;
};

/* What the requests of this instance are asked and told. */
struct poison_hooks {
	/* It is blamed, here or elsewhere: its runs are to be ended. */
	void (*blocked)(const struct fp *fp);
	/* How many runs of it have not answered yet; through is set where one has run on for
	 * so long that it ends no server any more. */
	uint32_t (*look)(const struct fp *fp, int *through);
};
/* first_start: of the whole fleet, so that nobody can know anything. */
void poison_start(int first_start, const struct poison_hooks *hooks);
/* Whether this instance has heard from another one what is blamed, or there is none to ask: it
 * serves nobody before. */
int poison_known(void);

/* ---- what this instance sees ---- */
/* b ended untold while these ran there. */
void poison_ended(const struct be *b, const struct poison_run *run, int n, int64_t at_us);
/* A run came through here. */
void poison_came_through(const struct fp *fp);

/* ---- what becomes of a try ---- */
/* Whether any request at all has to be asked for. */
int poison_any(void);
/* here: other runs of it at this instance that have not answered yet. */
enum quar_action poison_ask(const struct fp *fp, uint32_t here);

/* ---- operators ---- */
/* Blamed requests as a JSON list. */
void poison_write(GString *out);
/* It may run again, everywhere. 0, -EINVAL for what is no fingerprint, -ENOENT. */
int poison_clear(const char *fingerprint);

/* ---- what others tell (mesh_poison.c) ---- */
struct poison_told_end {
	char server[QUAR_NAME];
	int64_t life, ago_us;
	int n;
};
void poison_hear_end(const char *from, const struct poison_told_end *e,
		     const struct poison_run *run);
void poison_hear_through(const struct fp *fp, int64_t ago_us);
void poison_hear_verdict(const char *from, const struct fp *fp, uint32_t round,
			 uint32_t cleared, int64_t ago_us);
void poison_hear_under_way(const char *from, const struct fp *fp, uint32_t n);
/* A peer has told all its verdicts; knows: it has heard those of others itself. */
void poison_heard_all(int knows);
/* Appends what others were told once, of ends and of suspects, as far as it still counts: a
 * link may have lost it, or the receiver was not told as nobody came to it. */
void poison_write_told(GString *out);
uint64_t poison_digest(void);
void poison_each_verdict(void (*f)(const struct quar_suspect *s, void *arg), void *arg);
#endif
