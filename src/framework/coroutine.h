/// \file
/// C++20 coroutines over kj::Promise, for a KJ release that has none.
///
/// A coroutine returns task<Value>, which converts to kj::Promise<Value>, and
/// may co_await either. It begins at once on the calling thread's event loop.
/// Dropping the returned promise destroys the coroutine at its suspension
/// point, and with it the promise that it waits for: cancellation reaches the
/// work below. A coroutine must not drop its own promise while it runs.
#pragma once

#include <kj/async.h>
#include <kj/debug.h>
#include <kj/exception.h>

#include <coroutine>
#include <exception>
#include <type_traits>
#include <utility>

namespace figplank::framework {

/// What a coroutine returns: a kj::Promise on its way to the caller.
/// NOTE g++ 12 fails on coroutines whose return type has a destructor that may
/// throw, as that of kj::Promise may, so this type is only a carrier.
template <typename Value> class [[nodiscard]] task {
public:
  explicit task(kj::Promise<Value> &&Made)
      : Made(new kj::Promise<Value>(kj::mv(Made))) {}
  task(task &&Other) noexcept : Made(std::exchange(Other.Made, nullptr)) {}
  task &operator=(task &&) = delete;
  ~task() { delete Made; }

  /// Gives up the promise; the carrier is empty from then on.
  operator kj::Promise<Value>() && { return kj::mv(*Made); }

private:
  kj::Promise<Value> *Made;
};

} // namespace figplank::framework

// The language names the members that a coroutine's promise must have.
// NOLINTBEGIN(readability-identifier-naming)
namespace figplank::framework::detail {

/// Owns the frame of a coroutine on behalf of the promise it returned.
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

/// Converts the exception that is being handled.
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

/// State that every coroutine has whatever it returns.
struct coroutine_state {
  coroutine_state() = default;
  coroutine_state(const coroutine_state &) = delete;
  coroutine_state &operator=(const coroutine_state &) = delete;
  ~coroutine_state() noexcept { delete Resumer; }

  /// The promise that resumed the coroutine last; it may not be destroyed
  /// from within its own continuation.
  /// NOTE g++ 12 fails on coroutine state whose destructor may throw.
  kj::Promise<void> *Resumer = nullptr;

  void keepResumer(kj::Promise<void> *Newest) {
    delete Resumer;
    Resumer = Newest;
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

/// Waits for a promise and resumes the coroutine from its continuation.
template <typename Value> class promise_awaiter {
public:
  explicit promise_awaiter(kj::Promise<Value> &&Promise)
      : Promise(kj::mv(Promise)) {}
  ~promise_awaiter() { delete Waiting; }
  KJ_DISALLOW_COPY(promise_awaiter);

  bool await_ready() const noexcept { return false; }

  template <typename PromiseType>
  void await_suspend(std::coroutine_handle<PromiseType> Handle) {
    auto Resume = [this, Handle]() {
      Handle.promise().keepResumer(std::exchange(Waiting, nullptr));
      Handle.resume();
    };
    Waiting =
        new kj::Promise<void>(settle()
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
  kj::Promise<void> settle() {
    if constexpr (std::is_void_v<Value>) {
      return kj::mv(Promise);
    } else {
      return Promise.then([this](Value &&Got) { Result = kj::mv(Got); });
    }
  }

  struct nothing {};
  kj::Promise<Value> Promise;
  kj::Maybe<std::conditional_t<std::is_void_v<Value>, nothing, Value>> Result;
  kj::Maybe<kj::Exception> Error;
  kj::Promise<void> *Waiting = nullptr;
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
