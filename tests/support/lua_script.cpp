// Scripts through the C interface of Lua.

#include <tests/support/lua_script.hpp>

#include <lua.hpp>

#include <memory>

namespace apricotstile::tests {

namespace {

struct closes_state {
    void operator()(lua_State* state) const {
        lua_close(state);
    }
};

script_value read_value(lua_State* state, int index) {
    switch (lua_type(state, index)) {
    case LUA_TBOOLEAN:
        return lua_toboolean(state, index) != 0;
    case LUA_TNUMBER:
        return lua_tonumber(state, index);
    case LUA_TSTRING:
        return std::string{lua_tostring(state, index)};
    default:
        return {};
    }
}

void push_value(lua_State* state, const script_value& value) {
    if (const auto* flag = std::get_if<bool>(&value)) {
        lua_pushboolean(state, *flag ? 1 : 0);
    } else if (const auto* number = std::get_if<double>(&value)) {
        lua_pushnumber(state, *number);
    } else if (const auto* text = std::get_if<std::string>(&value)) {
        lua_pushlstring(state, text->data(), text->size());
    } else {
        lua_pushnil(state);
    }
}

/// Calls the function and pushes its result, or its exception's message.
bool call_function(lua_State* state) {
    const void* const held = lua_touserdata(state, lua_upvalueindex(1));
    const auto& function = *static_cast<const script_function*>(held);
    script_arguments arguments;
    const int count = lua_gettop(state);
    for (int index = 1; index <= count; ++index) {
        arguments.push_back(read_value(state, index));
    }
    try {
        push_value(state, function(arguments));
        return true;
    } catch (const std::exception& error) {
        lua_pushstring(state, error.what());
        return false;
    }
}

int trampoline(lua_State* state) {
    // lua_error jumps out; nothing with a destructor may be alive here.
    if (call_function(state)) {
        return 1;
    }
    return lua_error(state);
}

int add_traceback(lua_State* state) {
    luaL_traceback(state, state, lua_tostring(state, 1), 1);
    return 1;
}

void open_libraries(lua_State* state) {
    luaL_requiref(state, LUA_GNAME, luaopen_base, 1);
    luaL_requiref(state, LUA_STRLIBNAME, luaopen_string, 1);
    lua_settop(state, 0);
}

} // namespace

void run_script(
    const std::string& path,
    const std::map<std::string, script_function>& functions
) {
    const std::unique_ptr<lua_State, closes_state> state{luaL_newstate()};
    open_libraries(state.get());
    for (const auto& [name, function] : functions) {
        // The closure only reads it.
        lua_pushlightuserdata(
            state.get(), const_cast<script_function*>(&function)
        );
        lua_pushcclosure(state.get(), trampoline, 1);
        lua_setglobal(state.get(), name.c_str());
    }
    lua_pushcfunction(state.get(), add_traceback);
    const bool failed = luaL_loadfile(state.get(), path.c_str()) != LUA_OK ||
                        lua_pcall(state.get(), 0, 0, 1) != LUA_OK;
    if (failed) {
        const char* const message = lua_tostring(state.get(), -1);
        throw script_error{message != nullptr ? message : "unknown error"};
    }
}

} // namespace apricotstile::tests
