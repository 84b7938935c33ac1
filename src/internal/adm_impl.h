/* Private to src/fleet/adm*.c. */
#ifndef SH_ADM_IMPL_H
#define SH_ADM_IMPL_H
#include "adm.h"
#include <glib.h>

/* Time between two statements of a keeper that something waits; also how old a statement may be
 * is a multiple of it. */
#define ADM_STATE_US 100000

/* A question as it travels. number: of the newest question for the request. */
struct adm_question {
	uint64_t request, number, caller;
	char service[ENTRY_TEXT_MAX + 1], workspace[ENTRY_TEXT_MAX + 1];
	char route[ENTRY_TEXT_MAX + 1], excluded[ENTRY_TEXT_MAX + 1], ip[ENTRY_TEXT_MAX + 1];
	double weight;
	uint32_t rank, prompt, growth;
	int64_t age_us, run_us, latest_in_us, horizon_us;
};

/* A verdict as it travels. service and ip, those of the keeper, are for an asker that does not
 * know the request any more. */
struct adm_answer {
	uint64_t request, number;
	char service[ENTRY_TEXT_MAX + 1], ip[ENTRY_TEXT_MAX + 1];
	enum adm_kind kind;
	enum core_refusal why;
	char backend[ENTRY_TEXT_MAX + 1];
	int64_t age_us, first_us, second_us; /* the times of the verdict's kind */
};

/* The end of a question: the request was sent, or needs no verdict any more. */
struct adm_end {
	uint64_t request, number;
	char service[ENTRY_TEXT_MAX + 1], ip[ENTRY_TEXT_MAX + 1];
};

/* A keeper's statement to all serving instances. */
struct adm_state {
	char service[ENTRY_TEXT_MAX + 1], ip[ENTRY_TEXT_MAX + 1];
	int contended;
};

/* adm.c: a keeper, perhaps this instance, states whether something waits. */
void adm_on_state(const struct adm_state *s);

/* adm_frames.c */
void adm_write_question(GString *out, const struct adm_question *q);
void adm_write_answer(GString *out, const struct adm_answer *a);
void adm_write_end(GString *out, const struct adm_end *e);
void adm_write_state(GString *out, const struct adm_state *s);
/* What to do with a frame of each type. */
struct adm_handlers {
	void (*question)(const struct adm_question *q);
	void (*answer)(const char *from, const struct adm_answer *a);
	void (*end)(const struct adm_end *e);
	void (*state)(const struct adm_state *s);
};
void adm_add_topics(const struct adm_handlers *h);

/* adm_keeper.c: the part of the instance that decides. answer is called for each verdict, also
 * for this instance's own questions, never within adm_keeper_ask. */
void adm_keeper_start(const char *ip,
		      void (*answer)(const char *ip, const struct adm_answer *a));
void adm_keeper_ask(const struct adm_question *q);
void adm_keeper_end(const struct adm_end *e);
void adm_keeper_configure(const struct conf *c);
void adm_keeper_loads_changed(struct be *b);
/* Appends the statements of this instance as a keeper of services for which something waits. */
void adm_keeper_write_states(GString *out);
/* All questions of the instance at ip end: it died. */
void adm_keeper_member_gone(const char *ip);
/* A service that this instance has been asked for as its keeper. */
struct adm_kept {
	const char *service;
	uint64_t id;
	const struct core *core;
};
void adm_keeper_each(void (*f)(const struct adm_kept *k, void *arg), void *arg);
/* Sums over all services; counters also include what was forgotten. */
void adm_keeper_stats(struct core_admission_stats *s);
/* Forgets everything: this process was suspended, and others have decided meanwhile. */
void adm_keeper_reset(void);
#endif
