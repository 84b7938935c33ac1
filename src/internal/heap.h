/* A binary heap of pointers. Each item stores its position, so that it can be moved or removed.
 */
#ifndef SH_HEAP_H
#define SH_HEAP_H
#include <stddef.h>
#include <stdint.h>

#define HEAP_OUT UINT32_MAX /* position of an item that is in no heap */

struct heap {
	void **item;
	uint32_t n, cap;
	int (*before)(const void *a, const void *b);
	size_t pos_off; /* offset of the uint32_t position inside an item */
};

void heap_init(struct heap *h, int (*before)(const void *, const void *), size_t pos_off);
void heap_free(struct heap *h);
void heap_push(struct heap *h, void *item);
void heap_remove(struct heap *h, void *item);
/* Restores the order after the key of the item changed. */
void heap_move(struct heap *h, void *item);
void *heap_top(const struct heap *h);
#endif
