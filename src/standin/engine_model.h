/* Simulation behind the stand-in engine: sequences, memory, steps, and a small prefix cache. */
#ifndef SH_ENGINE_MODEL_H
#define SH_ENGINE_MODEL_H
#include <glib.h>
#include <pthread.h>
#include <stdint.h>

#define SEQ_ID_MAX 95
#define SNAPSHOTS 64
#define CACHE_BLOCKS 512
#define CACHE_BLOCK_BYTES 256 /* 64 tokens */

struct engine_config {
	int capacity, max_running, step_us, stream_us, prefill_us, load_ms, lag_ms, fenced;
};

struct engine_faults {
	int cut, cross, refuse, freeze;
	int reject_resume; /* so many resumptions are answered 400 */
	int64_t cut_after, delay_ms;
};

enum seq_state { SEQ_WAITING, SEQ_RUNNING, SEQ_DONE, SEQ_CANCELLED };

struct seq {
	char id[SEQ_ID_MAX + 1], tag[9];
	enum seq_state state;
	int chat, priority, limited, readers;
	uint32_t prompt_tokens, length, generated, cached;
	uint32_t used; /* memory held, in tokens */
	uint32_t preempted;
	int64_t ready_us; /* when its prefill ends */
	int64_t added_us, left_us, ended_us;
};

struct seq_start {
	const char *id, *prompt;
	int chat, priority;
	uint32_t max_tokens, length;
};

struct snapshot {
	int64_t at_us;
	uint64_t steps, preemptions;
	uint32_t used, running, waiting;
};

struct engine_model {
	struct engine_config cfg;
	pthread_mutex_t lock;
	pthread_cond_t stepped;
	GHashTable *by_id;
	GPtrArray *waiting, *running, *all;
	uint32_t used;
	uint64_t steps, preemptions;
	struct snapshot snapshots[SNAPSHOTS];
	uint32_t nsnapshots;
	uint64_t cache[CACHE_BLOCKS];
	uint32_t cache_next;
	uint64_t cache_seq;
	int slow;   /* factor on the time of a step; 0: 1 */
	int frozen; /* no steps are made */
	int64_t fence;
	uint64_t last_local_id;
};

void model_defaults(struct engine_config *c);
void model_start(struct engine_model *m);
/* Adds a sequence with one reader. NULL when the id is in use, or the prompt can never fit. */
struct seq *model_add(struct engine_model *m, const struct seq_start *s);
/* Adds a reader. NULL when there is no such sequence, or it was cancelled. */
struct seq *model_find(struct engine_model *m, const char *id);
/* Waits until more than from tokens are generated, or q has ended; returns their number. */
uint32_t model_wait(struct engine_model *m, struct seq *q, uint32_t from);
void model_reader_left(struct engine_model *m, struct seq *q);
/* Returns whether it had started; -1 when there is no such generation. */
int model_cancel(struct engine_model *m, const char *id);
void model_report(struct engine_model *m, GString *out, uint64_t *cache_seen);
void model_journal(struct engine_model *m, GString *out);
/* Records an order's fence; 0 when fences are checked and this one is older than the last. */
int model_fence(struct engine_model *m, int64_t fence);
#endif
