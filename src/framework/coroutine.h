/// \file
/// C++20 coroutines over kj::Promise, for KJ releases without coroutines.
///
/// A coroutine returns task<Value>, which converts to kj::Promise<Value>, and
/// may co_await either. It starts at once, on the event loop of the calling
/// thread. Dropping the returned promise destroys the coroutine at its
/// suspension point together with the promise that it awaits, so cancellation
/// propagates. A running coroutine must not drop the promise it returned.
#pragma once

#include <kj/async.h>
#include <kj/debug.h>
#include <kj/exception.h>

#include <coroutine>
#include <exception>
#include <type_traits>
#include <utility>

namespace figplank::framework {

/// The return type of coroutines. It wraps the kj::Promise for the caller.
/// NOTE g++ 12 fails on coroutines whose return type has a destructor that may
/// throw, as that of kj::Promise may; hence the pointer.
template <typename Value> class [[nodiscard]] task {
public:
  explicit task(kj::Promise<Value> &&Inner)
      : Inner(new kj::Promise<Value>(kj::mv(Inner))) {}
  task(task &&Other) noexcept : Inner(std::exchange(Other.Inner, nullptr)) {}
  task &operator=(task &&) = delete;
  ~task() { delete Inner; }

  /// Moves the promise out; the task must not be converted a second time.
  operator kj::Promise<Value>() && { return kj::mv(*Inner); }

private:
  kj::Promise<Value> *Inner;
};

} // namespace figplank::framework

// The C++ standard prescribes the member names of a coroutine's promise type.
// NOLINTBEGIN(readability-identifier-naming)
namespace figplank::framework::detail {

/// Owns the frame of a coroutine; owned in turn by the promise it returned.
template <typename PromiseType, typename Value> class coroutine_adapter {
public:
  coroutine_adapter(kj::PromiseFulfiller<Value> &Fulfiller,
                    std::coroutine_handle<PromiseType> Handle)
      : Handle(Handle) {
    Handle.promise().Fulfiller = &Fulfiller;
  }
  ~coroutine_adapter() noexcept(false) { Handle.destroy(); }
  KJ_DISALLOW_COPY(coroutine_adapter);

private:
  std::coroutine_handle<PromiseType> Handle;
};

/// Converts the exception that is being handled to a kj::Exception.
inline kj::Exception currentException() {
  try {
    throw;
  } catch (kj::Exception &Exception) {
    return kj::mv(Exception);
  } catch (std::exception &Exception) {
    return kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__,
                         kj::heapString(Exception.what()));
  } catch (...) {
    return kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__,
                         kj::heapString("unknown exception"));
  }
}

template <typename Value> class promise_awaiter;

/// The state of a coroutine that does not depend on the type of its result.
struct coroutine_state {
  coroutine_state() = default;
  coroutine_state(const coroutine_state &) = delete;
  coroutine_state &operator=(const coroutine_state &) = delete;
  ~coroutine_state() noexcept { delete Resumer; }

  /// The promise whose continuation last resumed the coroutine. It is kept
  /// because a promise must not be destroyed from within its continuation.
  /// NOTE g++ 12 fails on coroutine state whose destructor may throw.
  kj::Promise<void> *Resumer = nullptr;

  void keepResumer(kj::Promise<void> *Latest) {
    delete Resumer;
    Resumer = Latest;
  }

  std::suspend_never initial_suspend() noexcept { return {}; }
  std::suspend_always final_suspend() noexcept { return {}; }

  template <typename Value>
  promise_awaiter<Value> await_transform(kj::Promise<Value> Awaited) {
    return promise_awaiter<Value>(kj::mv(Awaited));
  }

  template <typename Value>
  promise_awaiter<Value> await_transform(task<Value> Awaited) {
    return promise_awaiter<Value>(kj::mv(Awaited));
  }
};

/// Awaits a promise and resumes the coroutine in the promise's continuation.
template <typename Value> class promise_awaiter {
public:
  explicit promise_awaiter(kj::Promise<Value> &&Promise)
      : Promise(kj::mv(Promise)) {}
  ~promise_awaiter() { delete Continuation; }
  KJ_DISALLOW_COPY(promise_awaiter);

  bool await_ready() const noexcept { return false; }

  template <typename PromiseType>
  void await_suspend(std::coroutine_handle<PromiseType> Handle) {
    auto Resume = [this, Handle]() {
      Handle.promise().keepResumer(std::exchange(Continuation, nullptr));
      Handle.resume();
    };
    Continuation =
        new kj::Promise<void>(storeResult()
                                  .then([Resume]() { Resume(); },
                                        [this, Resume](kj::Exception &&Thrown) {
                                          Error = kj::mv(Thrown);
                                          Resume();
                                        })
                                  .eagerlyEvaluate(nullptr));
  }

  Value await_resume() {
    KJ_IF_MAYBE (Thrown, Error) {
      kj::throwFatalException(kj::mv(*Thrown));
    }
    if constexpr (!std::is_void_v<Value>) {
      return kj::mv(KJ_ASSERT_NONNULL(Result));
    }
  }

private:
  kj::Promise<void> storeResult() {
    if constexpr (std::is_void_v<Value>) {
      return kj::mv(Promise);
    } else {
      return Promise.then(
          [this](Value &&Resolved) { Result = kj::mv(Resolved); });
    }
  }

  struct empty_result {};
  kj::Promise<Value> Promise;
  kj::Maybe<std::conditional_t<std::is_void_v<Value>, empty_result, Value>>
      Result;
  kj::Maybe<kj::Exception> Error;
  kj::Promise<void> *Continuation = nullptr;
};

template <typename Value, typename PromiseType>
task<Value> makeTask(PromiseType &Promise) {
  auto Handle = std::coroutine_handle<PromiseType>::from_promise(Promise);
  return task<Value>(
      kj::newAdaptedPromise<Value, coroutine_adapter<PromiseType, Value>>(
          Handle));
}

template <typename Value> struct coroutine_promise : coroutine_state {
  kj::PromiseFulfiller<Value> *Fulfiller = nullptr;

  task<Value> get_return_object() { return makeTask<Value>(*this); }
  void return_value(Value Result) {
    // NOLINTNEXTLINE(clang-analyzer-core.CallAndMessage): set by makeTask.
    Fulfiller->fulfill(kj::mv(Result));
  }
  void unhandled_exception() {
    // NOLINTNEXTLINE(clang-analyzer-core.CallAndMessage): set by makeTask.
    Fulfiller->reject(currentException());
  }
};

template <> struct coroutine_promise<void> : coroutine_state {
  kj::PromiseFulfiller<void> *Fulfiller = nullptr;

  task<void> get_return_object() { return makeTask<void>(*this); }
  void return_void() {
    // NOLINTNEXTLINE(clang-analyzer-core.CallAndMessage): set by makeTask.
    Fulfiller->fulfill();
  }
  void unhandled_exception() {
    // NOLINTNEXTLINE(clang-analyzer-core.CallAndMessage): set by makeTask.
    Fulfiller->reject(currentException());
  }
};

} // namespace figplank::framework::detail
// NOLINTEND(readability-identifier-naming)

template <typename Value, typename... Arguments>
struct std::coroutine_traits<figplank::framework::task<Value>, Arguments...> {
  using promise_type = figplank::framework::detail::coroutine_promise<Value>;
};
