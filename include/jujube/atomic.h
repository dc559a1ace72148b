/*
 * atomic - atomic integers for headers shared by C and C++
 *
 * The library is written in C; its tests include the headers from C++.
 */
#ifndef JUJUBE_ATOMIC_H
#define JUJUBE_ATOMIC_H

#ifdef __cplusplus
extern "C++" {
#include <atomic>
}
#define JJ_ATOMIC(type) std::atomic<type>
#define JJ_RELAXED std::memory_order_relaxed
#else
#include <stdatomic.h>
#define JJ_ATOMIC(type) _Atomic(type)
#define JJ_RELAXED memory_order_relaxed
#endif

#endif
