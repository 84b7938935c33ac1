/* Bounds over all instances that backend servers name in their answers: recorded, and sent to
 * the other instances. */
#ifndef SH_LIMIT_H
#define SH_LIMIT_H
#include "be.h"

enum limit_kind {
	LIMIT_RATE,       /* requests per second */
	LIMIT_REJECTIONS, /* rejections per second */
	LIMIT_KINDS
};

/* To be called once, before the mesh's start. */
void limit_start(void);
/* The answer to a request sent at sent_us names this bound; negative: it names none. */
void limit_report(struct be *b, enum limit_kind k, double per_s, int64_t sent_us);
#endif
